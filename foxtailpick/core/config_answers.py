"""Answers to operators who submit patches."""

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
    """What is known of a patch."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAnswer:
    """The answer to an operator.

    :param outcome: accepted, rejected (it never takes effect), or unknown.
    :param number: the number it made if accepted, else the newest one
        known, None if none is.
    :param code: the reason unless accepted.
    :param message: the reason in words.
    :param since: what changed after the patch's base, oldest first.
    :param cfg: the configuration made, if this submission wrote it.
    :param delta: what it changed, if this submission wrote it.
    """

    outcome: Outcome
    number: types.ConfigNumber | None
    code: errors.ErrorCode | None = None
    message: str = ''
    since: tuple[config_delta.Delta, ...] = ()
    cfg: configuration.Configuration | None = None
    delta: config_delta.Delta | None = None


def read_record(patch: patches.Patch, raw: bytes) -> PatchAnswer:
    """Return the answer to a patch whose id has landed.

    :param patch: the patch.
    :param raw: the record under its id: number and digest of the text.
    """
    number, digest = cbor2.loads(raw)
    if digest == patch.digest:
        return PatchAnswer(Outcome.ACCEPTED, types.ConfigNumber(number))
    return PatchAnswer(
        Outcome.REJECTED,
        types.ConfigNumber(number),
        errors.ErrorCode.PATCH_INVALID,
        f'[patch] id: expected a new id, got {patch.patch_id!r}, under which '
        f'another text landed as {number}; choose another id',
    )


def make_forgotten(
    patch: patches.Patch, number: types.ConfigNumber
) -> PatchAnswer:
    """Return the answer to a patch so old that its record may be gone."""
    return PatchAnswer(
        Outcome.UNKNOWN,
        number,
        errors.ErrorCode.PATCH_OUTCOME_UNKNOWN,
        f'expected a patch against about number {number}, got one against '
        f'{patch.base}; whether it landed is no longer kept, look at what is '
        f'in force',
    )


def make_outdated(
    patch: patches.Patch,
    number: types.ConfigNumber,
    since: typing.Sequence[config_delta.Delta],
) -> PatchAnswer:
    """Return the answer to a patch that can no longer land.

    :param patch: the patch.
    :param number: the newest number.
    :param since: what changed after the patch's base, oldest first.
    """
    return PatchAnswer(
        Outcome.REJECTED,
        number,
        errors.ErrorCode.PATCH_OUTDATED,
        f'expected a patch against number {number}, got one against '
        f'{patch.base}; look at what changed since and submit a new patch',
        tuple(since),
    )


def make_rejection(
    exc: errors.PatchError, number: types.ConfigNumber | None
) -> PatchAnswer:
    """Return the answer to a faulty patch.

    :param exc: the fault.
    :param number: the newest number, None if it was not read.
    """
    return PatchAnswer(Outcome.REJECTED, number, exc.code, exc.message)


def make_unknown(
    is_unsure: bool,
    number: types.ConfigNumber | None,
    failure: errors.FoxtailError | None,
) -> PatchAnswer:
    """Return the answer when the store did not let the outcome be learned.

    It stays unknown even if this submission wrote nothing: an earlier one
    of the same patch may have landed, or be on its way.

    :param is_unsure: whether this submission sent a write without a reply.
    :param number: the newest number seen, None if none was.
    :param failure: the last failure.
    """
    reason = failure.message if failure else 'other patches kept landing'
    code = errors.ErrorCode.CONFIG_UNAVAILABLE
    detail = 'this submission wrote nothing'
    if is_unsure:
        code = errors.ErrorCode.PATCH_OUTCOME_UNKNOWN
        detail = 'this submission may have landed'
    return PatchAnswer(
        Outcome.UNKNOWN,
        number,
        code,
        f'{reason}; {detail}, submit the same patch again to learn more',
    )


def log_answer(patch_id: str, answer: PatchAnswer) -> PatchAnswer:
    """Log an answer and return it."""
    logger.info(
        'CONFIG patch {} {}. Number {}. {}',
        patch_id,
        answer.outcome.value,
        answer.number,
        answer.message,
    )
    return answer
