"""Store whose operations complete only when a driver decides how."""

import collections.abc
import enum
import types as python_types
import typing

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.standins import keyvalue

Verdict = verdict_lib.Verdict


class OpOutcome(enum.Enum):
    """Outcome of an operation on the store or the service."""

    DONE = 'done'
    REFUSED = 'refused'
    REPLY_LOST = 'reply lost'
    REQUEST_LOST = 'request lost'
    LATE = 'takes effect later, reply lost'


Operation = typing.Callable[[], object]


@python_types.coroutine
def wait_for_outcome(
    operation: Operation,
) -> collections.abc.Generator[Operation, OpOutcome, OpOutcome]:
    """Suspend until the driver decides the outcome of an operation."""
    return (yield operation)


class SteppedKeyValue(base.KeyValue):
    """A store that suspends each operation until its outcome is decided.

    :param state: shared store state.
    :param delayed: list to which delayed operations are added.
    """

    def __init__(
        self,
        state: keyvalue.KeyValueState,
        delayed: list[Operation],
    ) -> None:
        self._state = state
        self._delayed = delayed

    async def get(self, key: str) -> base.Entry | None:
        return await self._run_operation(lambda: self._state.read(key))

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        return await self._run_operation(
            lambda: self._state.read_prefix(prefix)
        )

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        return await self._run_operation(
            lambda: self._state.transact(compares, writes)
        )

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        return await self._run_operation(
            lambda: self._state.grant_lease(ttl_ms)
        )

    async def renew_lease(self, lease: types.LeaseId) -> None:
        await self._run_operation(lambda: self._state.renew_lease(lease))

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._run_operation(lambda: self._state.revoke_lease(lease))

    def watch(self, prefix: str, after: types.Revision) -> typing.NoReturn:
        raise NotImplementedError(
            'watch is not supported; claims do not use it'
        )

    async def _run_operation(self, operation: Operation) -> object:
        outcome = await wait_for_outcome(operation)
        if outcome is OpOutcome.REFUSED or self._state.faults.is_down:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'the store is down'
            )
        if outcome is OpOutcome.LATE:
            self._delayed.append(operation)
        elif outcome is not OpOutcome.REQUEST_LOST:
            result = operation()
        if outcome is OpOutcome.DONE:
            return result
        raise errors.StoreError(
            errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
            'no reply',
            Verdict.MAY_HAVE_RUN,
        )
