"""Results of submitted patches, as returned to operators."""

import dataclasses
import enum
import typing

import cbor2
from loguru import logger

from foxtailpick.core import config_delta
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import patches
from foxtailpick.core import types


class Outcome(enum.Enum):
    """Known outcome of a patch."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAnswer:
    """The result of a submission.

    :param outcome: accepted, rejected (it never takes effect), or unknown.
    :param number: the number of the patch if accepted, otherwise the newest
        known number, None if unknown.
    :param code: error code unless accepted.
    :param message: error message.
    :param since: deltas after the base of the patch, oldest first.
    :param cfg: the resulting configuration, if this submission wrote it.
    :param delta: what the patch changed, if this submission wrote it.
    """

    outcome: Outcome
    number: types.ConfigNumber | None
    code: errors.ErrorCode | None = None
    message: str = ''
    since: tuple[config_delta.Delta, ...] = ()
    cfg: configuration.Configuration | None = None
    delta: config_delta.Delta | None = None


def read_record(patch: patches.Patch, raw: bytes) -> PatchAnswer:
    """Return the result for a patch whose id is already committed.

    :param patch: the patch.
    :param raw: the record stored under its id: number and digest of the
        text.
    """
    number, digest = cbor2.loads(raw)
    if digest == patch.digest:
        return PatchAnswer(Outcome.ACCEPTED, types.ConfigNumber(number))
    return PatchAnswer(
        Outcome.REJECTED,
        types.ConfigNumber(number),
        errors.ErrorCode.PATCH_INVALID,
        f'[patch] id: expected a new id, got {patch.patch_id!r}, under which '
        f'another text is committed as {number}; choose another id',
    )


def make_expired(
    patch: patches.Patch, number: types.ConfigNumber
) -> PatchAnswer:
    """Return the result for a patch whose record may have expired."""
    return PatchAnswer(
        Outcome.UNKNOWN,
        number,
        errors.ErrorCode.PATCH_OUTCOME_UNKNOWN,
        f'expected a patch against a number near {number}, got one against '
        f'{patch.base}; its outcome is no longer recorded, review the '
        f'configuration in force',
    )


def make_outdated(
    patch: patches.Patch,
    number: types.ConfigNumber,
    since: typing.Sequence[config_delta.Delta],
) -> PatchAnswer:
    """Return the result for a patch that can no longer be committed.

    :param patch: the patch.
    :param number: the newest number.
    :param since: deltas after the base of the patch, oldest first.
    """
    return PatchAnswer(
        Outcome.REJECTED,
        number,
        errors.ErrorCode.PATCH_OUTDATED,
        f'expected a patch against number {number}, got one against '
        f'{patch.base}; review the changes since and submit a new patch',
        tuple(since),
    )


def make_rejection(
    exc: errors.PatchError, number: types.ConfigNumber | None
) -> PatchAnswer:
    """Return the result for an invalid patch.

    :param exc: the error.
    :param number: the newest number, None if it was not read.
    """
    return PatchAnswer(Outcome.REJECTED, number, exc.code, exc.message)


def make_unknown(
    may_have_written: bool,
    number: types.ConfigNumber | None,
    failure: errors.FoxtailError | None,
) -> PatchAnswer:
    """Return the result when the store does not reveal the outcome.

    It is unknown even if this submission wrote nothing: an earlier
    submission of the same patch may be committed or in flight.

    :param may_have_written: whether this submission sent a write that got no
        reply.
    :param number: the newest number seen, None if none was.
    :param failure: the last failure.
    """
    reason = failure.message if failure else 'lost the race to other patches'
    code = errors.ErrorCode.CONFIG_UNAVAILABLE
    detail = 'this submission wrote nothing'
    if may_have_written:
        code = errors.ErrorCode.PATCH_OUTCOME_UNKNOWN
        detail = 'this submission may have been committed'
    return PatchAnswer(
        Outcome.UNKNOWN,
        number,
        code,
        f'{reason}; {detail}, submit the same patch again to find out',
    )


def log_answer(patch_id: str, answer: PatchAnswer) -> PatchAnswer:
    """Log a result and return it."""
    logger.info(
        'CONFIG patch {} {}. Number {}. {}',
        patch_id,
        answer.outcome.value,
        answer.number,
        answer.message,
    )
    return answer
