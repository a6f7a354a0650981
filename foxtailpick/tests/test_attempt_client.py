"""Tests of one attempt over the links of a router, in virtual time."""

import contextlib
import types

import pytest
import trio
import trio.testing

from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import settings
from foxtailpick.router import attempt_client

ANSWER = messages.Answer('a', 200, 'text/plain', b'done')
ACCEPTED = messages.Accepted('a', 0, 0.0, 0.0)
LIMITS = settings.LimitSettings()
# Tasks that a message passes from its socket to its attempt.
HOPS = 10


class Pool:
    """Links to one sidecar."""

    def __init__(self):
        self.opened = 0
        self.lost = 0
        self.sidecar = None

    async def acquire(self, address):
        """Return a new link."""
        self.opened += 1
        return self

    @property
    def peer(self):
        """Handshake message of the sidecar."""
        return types.SimpleNamespace(incarnation='i')

    @contextlib.contextmanager
    def subscribe(self, attempt):
        """Receive the messages of an attempt."""
        self.sidecar, inbox = trio.open_memory_channel(100)
        yield inbox

    def send_soon(self, message):
        """Drop a message to the sidecar."""

    def discard(self, link):
        """Count a link that is taken for lost."""
        self.lost += 1


async def deliver_nothing(texts, first):
    """Pass over the tokens of a stream."""


@pytest.fixture
def pool():
    return Pool()


async def run(pool, deliver=deliver_nothing):
    """Run one attempt."""
    client = attempt_client.AttemptClient(pool, LIMITS, 2)
    session = attempt_client.AttemptSession(
        'a',
        'hiker',
        'sidecar',
        replay.StreamAssembler(
            replay.ResumePoint('a'), invariants.Monitor(is_strict=True)
        ),
    )
    return await client.run(session, ACCEPTED, deliver)


async def test_process_that_stalls_does_not_lose_its_links(pool, mock_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, pool)
        for _ in range(3):
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(2 * LIMITS.silence / 1_000)
            for _ in range(HOPS):
                await trio.lowlevel.checkpoint()
            assert pool.lost == 0
            pool.sidecar.send_nowait(ACCEPTED)
        pool.sidecar.send_nowait(ANSWER)
    assert pool.opened == 1


async def test_silent_link_is_replaced(pool, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, pool)
        await trio.sleep(0.9 * LIMITS.silence / 1_000)
        assert pool.opened == 1
        await trio.sleep(0.2 * LIMITS.silence / 1_000)
        assert (pool.lost, pool.opened) == (1, 2)
        pool.sidecar.send_nowait(ANSWER)


async def test_slow_caller_does_not_lose_the_link(pool, autojump_clock):
    """The sidecar reports while a token is delivered."""

    async def deliver(texts, first):
        await trio.sleep(2 * LIMITS.silence / 1_000)

    chunk = replay.ReplayBuffer('a', 10_000).append(b'token')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, pool, deliver)
        await trio.sleep(0.1)
        pool.sidecar.send_nowait(
            messages.Chunks('a', 0, ('token',), (chunk.check,), 0.0)
        )
        await trio.sleep(0.1)
        pool.sidecar.send_nowait(ACCEPTED)
        pool.sidecar.send_nowait(ANSWER)
    assert (pool.lost, pool.opened) == (0, 1)
