"""Errors of calls with an idempotency key."""

from foxtailpick.core import claim_records
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

ErrorCode = errors.ErrorCode
Verdict = verdict_lib.Verdict

RETRY_AFTER_MS = types.SECOND_MS


class ClaimHeldError(errors.RequestError):
    """Another sidecar holds the claim and may be running the call.

    :param owner: the sidecar to ask for the outcome of the call.
    """

    def __init__(self, owner: claim_records.ClaimOwner) -> None:
        super().__init__(
            ErrorCode.CALL_IN_PROGRESS,
            f'expected an unclaimed key, it is claimed by {owner.endpoint} '
            f'incarnation {owner.incarnation}; query that sidecar',
            Verdict.MAY_HAVE_RUN,
            RETRY_AFTER_MS,
        )
        self.owner = owner


def make_answer_not_kept_error() -> errors.RequestError:
    """Return the error for a repeat of a call with an unstored answer."""
    return errors.RequestError(
        ErrorCode.ANSWER_NOT_KEPT,
        'the call ran once; its answer was too large to be stored',
        Verdict.RAN,
    )


def make_claim_timeout_error(age_ms: float) -> errors.RequestError:
    """Return the error for a claim that took too long to be safe to use.

    :param age_ms: time taken to create the claim.
    """
    return errors.RequestError(
        ErrorCode.DEADLINE_EXCEEDED,
        f'expected to claim the key in time, took {age_ms:.0f} ms; this '
        f'call was not run, retry with the same key',
    )


def make_table_full_error(max_records: int) -> errors.RequestError:
    """Return the error for a call that exceeds the table's capacity.

    :param max_records: the limit that was reached.
    """
    return errors.RequestError(
        ErrorCode.OVERLOADED,
        f'expected fewer than {max_records} calls in memory; this call '
        f'was not run, retry later',
        Verdict.NOT_RUN,
        RETRY_AFTER_MS,
    )


def make_in_progress_error() -> errors.RequestError:
    """Return the error for a key whose call is running in this sidecar."""
    return errors.RequestError(
        ErrorCode.CALL_IN_PROGRESS,
        'expected an unused key, its call is in progress; retry later',
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def make_key_reused_error() -> errors.RequestError:
    """Return the error for a key that was used with another body."""
    return errors.RequestError(
        ErrorCode.KEY_REUSED,
        'expected the body of the first call with this key, got a different '
        'one; use a new key',
    )


def make_store_error() -> errors.RequestError:
    """Return the error for a call whose claim could not be stored."""
    return errors.RequestError(
        ErrorCode.STORE_UNAVAILABLE,
        'expected to claim the key, the store did not answer; this call '
        'was not run, retry later with the same key',
        Verdict.NOT_RUN,
        RETRY_AFTER_MS,
    )


def make_unknown_error() -> errors.RequestError:
    """Return the error for a call whose outcome cannot be determined."""
    return errors.RequestError(
        ErrorCode.OUTCOME_UNKNOWN,
        'the call may have run, its outcome cannot be determined; check '
        'whether it took effect before using a new key',
        Verdict.MAY_HAVE_RUN,
    )
