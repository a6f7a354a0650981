"""Errors of calls with an idempotency key."""

from foxtailpick.core import claim_records
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

ErrorCode = errors.ErrorCode
Verdict = verdict_lib.Verdict

RETRY_AFTER_MS = types.SECOND_MS


class ClaimHeldError(errors.RequestError):
    """Another sidecar claimed the call and may be running it.

    :param owner: the sidecar to ask; it knows what became of the call.
    """

    def __init__(self, owner: claim_records.ClaimOwner) -> None:
        super().__init__(
            ErrorCode.CALL_IN_PROGRESS,
            f'expected a free key, it is claimed by {owner.endpoint} '
            f'incarnation {owner.incarnation}; ask there',
            Verdict.MAY_HAVE_RUN,
            RETRY_AFTER_MS,
        )
        self.owner = owner


def make_answer_not_kept_error() -> errors.RequestError:
    """Return the error of a repeat whose answer was too large to keep."""
    return errors.RequestError(
        ErrorCode.ANSWER_NOT_KEPT,
        'the call ran once; its answer was too large to be kept',
        Verdict.RAN,
    )


def make_claim_late_error(age_ms: float) -> errors.RequestError:
    """Return the error of a claim that took too long to be used safely.

    :param age_ms: how long it took, in milliseconds.
    """
    return errors.RequestError(
        ErrorCode.DEADLINE_EXCEEDED,
        f'expected to claim the key in time, took {age_ms:.0f} ms; this '
        f'call was not run, try again with the same key',
    )


def make_full_error(max_records: int) -> errors.RequestError:
    """Return the error of a call that found no room in memory.

    :param max_records: the bound that was reached.
    """
    return errors.RequestError(
        ErrorCode.OVERLOADED,
        f'expected fewer than {max_records} calls in memory; this call '
        f'was not run, try later',
        Verdict.NOT_RUN,
        RETRY_AFTER_MS,
    )


def make_in_progress_error() -> errors.RequestError:
    """Return the error of a call that this sidecar is running."""
    return errors.RequestError(
        ErrorCode.CALL_IN_PROGRESS,
        'expected a free key, its call is under way; try later',
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MS,
    )


def make_key_reused_error() -> errors.RequestError:
    """Return the error of a key that came with another body."""
    return errors.RequestError(
        ErrorCode.KEY_REUSED,
        'expected the body of the first call with this key, got another '
        'one; use a new key',
    )


def make_store_error() -> errors.RequestError:
    """Return the refusal of a call that could not be claimed."""
    return errors.RequestError(
        ErrorCode.STORE_UNAVAILABLE,
        'expected to claim the key, the store did not answer; this call '
        'was not run, try later with the same key',
        Verdict.NOT_RUN,
        RETRY_AFTER_MS,
    )


def make_unknown_error() -> errors.RequestError:
    """Return the error of a call that nobody knows the outcome of."""
    return errors.RequestError(
        ErrorCode.OUTCOME_UNKNOWN,
        'the call may have run and nobody can tell; look whether it took '
        'effect before using a new key',
        Verdict.MAY_HAVE_RUN,
    )
