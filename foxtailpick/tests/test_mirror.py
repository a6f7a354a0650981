"""Tests of polling the platform's store, in virtual time."""

import json
import random

import trio

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import mirror
from foxtailpick.gateway import state
from foxtailpick.platform import items
from foxtailpick.tests import gateway_harness

WAIT_S = 1.5
ENTRY = json.dumps(
    gateway_harness.make_entry('engine', ('127.0.0.1', 1))
).encode()


class ChangingStore:
    """A store that supports reading and polling only."""

    def __init__(self):
        self.changes = []
        self.polls = 0
        self._changed = trio.Event()

    def put(self, key, value):
        """Write an item."""
        revision = types.Revision(len(self.changes) + 1)
        entry = base.Entry(key, value, revision)
        self.changes.append(base.Change(key, entry))
        self._changed.set()
        self._changed = trio.Event()

    async def read_snapshot(self, prefix):
        """Return an empty snapshot at the current revision."""
        return base.Snapshot([], types.Revision(len(self.changes)))

    async def poll_changes(self, prefix, after):
        """Wait for changes."""
        self.polls += 1
        if after == len(self.changes):
            with trio.move_on_after(WAIT_S):
                await self._changed.wait()
        return self.changes[after:], types.Revision(len(self.changes))


async def follow_changes(gaps_s):
    """Return the number of polls and the delay of each change, in s."""
    store = ChangingStore()
    seen = {}

    def decode(key, value):
        seen[key] = trio.current_time()
        return items.decode_item(key, value)

    def now_ms():
        return trio.current_time() * 1_000

    log = decision_log.DecisionLog(now_ms, len)
    own = state.GatewayState(types.RouterId('r'), now_ms, log)
    follower = mirror.Mirror(store, own, decode, now_ms, log, random.Random(1))
    written = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.follow)
        await trio.sleep(5)
        for number, gap_s in enumerate(gaps_s):
            await trio.sleep(gap_s)
            key = f'servers/e{number}'
            written[key] = trio.current_time()
            store.put(key, ENTRY)
        polls = store.polls
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    return polls, [seen[key] - written[key] for key in written]


async def test_burst_of_changes_costs_few_polls(autojump_clock):
    """Few polls suffice for the changes of 40 routers that start in 2 s."""
    polls, late = await follow_changes([0.05] * 40)
    idle = 5 / WAIT_S
    assert polls - idle < 12
    assert max(late) <= mirror.BURST_DELAY_MS / 1_000 + 0.01


async def test_isolated_change_is_read_at_once(autojump_clock):
    _, late = await follow_changes([3.0, 3.0])
    assert max(late) < 0.01


class LeaseOutageStore(ChangingStore):
    """A store whose lease calls fail while its watch keeps waiting.

    The only entry expires meanwhile, and the history is dropped.
    """

    def __init__(self):
        super().__init__()
        self.is_lease_refused = False
        self.reads = 0

    async def read_snapshot(self, prefix):
        """Return the entry at the first read only."""
        self.reads += 1
        entry = base.Entry('servers/e1', ENTRY, types.Revision(0))
        entries = [entry] if self.reads == 1 else []
        return base.Snapshot(entries, types.Revision(0))

    async def poll_changes(self, prefix, after):
        """Report lost history once the outage is over."""
        self.polls += 1
        if self.reads > 1:
            await trio.sleep_forever()
        await trio.sleep(4)
        self.is_lease_refused = False
        raise errors.StoreError(
            errors.ErrorCode.STORE_HISTORY_LOST, 'history lost'
        )

    async def grant_lease(self, ttl_ms):
        """Return a lease."""
        return types.LeaseId(1)

    async def transact(self, compares, writes):
        """Accept a write."""

    async def renew_lease(self, lease):
        """Fail during the outage."""
        if self.is_lease_refused:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'refused'
            )


async def test_outage_seen_by_a_lease_call_only_is_an_outage(autojump_clock):
    """An entry that expires while only lease calls fail gets the grace."""

    def now_ms():
        return trio.current_time() * 1_000

    store = LeaseOutageStore()
    log = decision_log.DecisionLog(now_ms, len)
    own = state.GatewayState(types.RouterId('r'), now_ms, log)
    follower = mirror.Mirror(
        store, own, items.decode_item, now_ms, log, random.Random(1)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.follow)
        nursery.start_soon(follower.register, 'key', b'value')
        await trio.sleep(1)
        store.is_lease_refused = True
        await trio.sleep(3.5)
        assert store.reads == 2
        assert own.table.get('e1').absent_until_ms is not None
        await trio.sleep(2)
        own.expire()
        assert own.table.get('e1') is None
        nursery.cancel_scope.cancel()
