"""Store with random faults for simulations in virtual time."""

import random
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict
from foxtailpick.standins import keyvalue

MAX_DELAY_MS = 20.0
MAX_DELAYED_WRITE_MS = 2_000.0


class FaultyKeyValue(base.KeyValue):
    """A store with delayed, failing and lost calls.

    A write whose reply is lost takes effect soon, much later or never.

    :param state: shared store state.
    :param rng: source of all random choices.
    :param fault_rate: probability that a call fails, and that the reply to a
        write is lost.
    :param nursery: runs writes that take effect later.
    """

    def __init__(
        self,
        state: keyvalue.KeyValueState,
        rng: random.Random,
        fault_rate: float,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._rng = rng
        self._fault_rate = fault_rate
        self._nursery = nursery

    async def get(self, key: str) -> base.Entry | None:
        await self._delay_or_fail()
        return self._state.read(key)

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        await self._delay_or_fail()
        return self._state.read_prefix(prefix)

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        await self._delay_or_fail()
        if self._rng.random() >= self._fault_rate:
            result = self._state.transact(compares, writes)
            await self._wait(MAX_DELAY_MS)
            return result
        if self._rng.random() < 0.7:
            self._nursery.start_soon(self._apply_delayed, compares, writes)
        await self._wait(MAX_DELAY_MS)
        raise errors.StoreError(
            errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
            'no reply',
            verdict.Verdict.MAY_HAVE_RUN,
        )

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        await self._delay_or_fail()
        return self._state.grant_lease(ttl_ms)

    async def renew_lease(self, lease: types.LeaseId) -> None:
        await self._delay_or_fail()
        self._state.renew_lease(lease)

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._delay_or_fail()
        self._state.revoke_lease(lease)

    def watch(self, prefix: str, after: types.Revision) -> typing.NoReturn:
        raise NotImplementedError('watch is not supported; poll instead')

    async def _apply_delayed(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> None:
        is_soon = self._rng.random() < 0.5
        await self._wait(MAX_DELAY_MS if is_soon else MAX_DELAYED_WRITE_MS)
        self._state.transact(compares, writes)

    async def _delay_or_fail(self) -> None:
        await self._wait(MAX_DELAY_MS)
        if self._rng.random() < self._fault_rate:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'the store is down'
            )

    async def _wait(self, max_ms: float) -> None:
        await clock_lib.sleep_ms(self._rng.uniform(0.0, max_ms))
