"""Tests of the bound on the memory of all requests."""

import functools

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import request_memory

STALLED_MS = request_memory.STALLED_MS
SHORT = request_memory.SHORT_BYTES
BOUNDS = request_memory.Bounds(40 * SHORT, 30 * SHORT)


class Crowd:
    """Requests that share a memory."""

    def __init__(self):
        self.memory = request_memory.RequestMemory()
        self.ended = []

    def begin(self, name, need, now_ms=0.0):
        """Begin a request; return its memory, None if it has no room."""
        holding = request_memory.Holding(
            functools.partial(self.ended.append, name), now_ms, 0
        )
        self.memory.unfinished.add(holding)
        if self.take(holding, need, now_ms):
            return holding
        request_memory.release(self.memory, holding)
        return None

    def take(self, holding, need, now_ms=0.0):
        """Let a request grow."""
        return request_memory.take(self.memory, holding, need, BOUNDS, now_ms)


def test_request_that_does_not_fit_is_refused_at_once():
    """Those that came before go on, and nothing is held for it."""
    crowd = Crowd()
    crowd.begin('first', 20 * SHORT)
    assert crowd.begin('second', 11 * SHORT) is None
    assert crowd.memory.used_bytes == 20 * SHORT
    assert not crowd.ended
    assert crowd.begin('third', 10 * SHORT)


def test_short_requests_have_memory_of_their_own():
    """Long ones leave a part of it to them."""
    crowd = Crowd()
    crowd.begin('long', 30 * SHORT)
    assert crowd.begin('long', SHORT + 1) is None
    assert all(crowd.begin('short', SHORT) for _ in range(10))
    assert crowd.begin('short', SHORT) is None


def test_request_without_progress_for_longest_gives_way():
    """No more requests are ended than are needed."""
    crowd = Crowd()
    for name, began_ms in (('b', 20.0), ('a', 10.0), ('c', 30.0)):
        crowd.begin(name, 10 * SHORT, began_ms)
    now_ms = 30.0 + STALLED_MS
    assert crowd.begin('new', 15 * SHORT, now_ms)
    assert crowd.ended == ['a', 'b']
    assert crowd.memory.used_bytes == 25 * SHORT


@pytest.mark.parametrize(
    ('received', 'is_stalled'),
    [
        (request_memory.PROGRESS_BYTES, False),
        (request_memory.PROGRESS_BYTES - 1, True),
    ],
)
def test_progress_keeps_a_request(received, is_stalled):
    """A few bytes now and then are no progress."""
    crowd = Crowd()
    holding = crowd.begin('old', 30 * SHORT)
    request_memory.record_received(holding, received, STALLED_MS)
    is_taken = crowd.begin('new', 2 * SHORT, STALLED_MS)
    assert (is_taken is not None) is is_stalled
    assert bool(crowd.ended) is is_stalled


def test_complete_request_does_not_give_way():
    """It may be running at an endpoint."""
    crowd = Crowd()
    holding = crowd.begin('old', 30 * SHORT)
    crowd.memory.unfinished.discard(holding)
    assert crowd.begin('new', 2 * SHORT, 2 * STALLED_MS) is None
    request_memory.release(crowd.memory, holding)
    assert crowd.begin('new', 30 * SHORT, 2 * STALLED_MS)


def test_none_gives_way_in_vain():
    """Requests end only for one that then has room."""
    crowd = Crowd()
    crowd.begin('stalled', SHORT)
    crowd.begin('other', 29 * SHORT, STALLED_MS)
    assert crowd.begin('new', 2 * SHORT, STALLED_MS) is None
    assert not crowd.ended


@pytest.mark.parametrize('memory_mb', [1.0, 40.0, 300.0, 2_000.0])
def test_longest_request_fits(memory_mb):
    """A request inside the limits is served when there are no others."""
    limits = model.Limits()
    bounds = request_memory.Bounds.from_config(memory_mb, limits)
    need = request_memory.compute_cost(
        limits.max_header_bytes,
        limits.max_header_bytes // 4,
        limits.max_body_bytes,
    )
    crowd = Crowd()
    holding = request_memory.Holding(lambda: None, 0.0, 0)
    assert request_memory.take(crowd.memory, holding, need, bounds, 0.0)


def test_request_that_grows_is_charged_once():
    """Its memory is what it needs altogether."""
    crowd = Crowd()
    holding = crowd.begin('grows', SHORT)
    assert crowd.take(holding, 3 * SHORT)
    assert crowd.memory.used_bytes == 3 * SHORT
    request_memory.release(crowd.memory, holding)
    assert crowd.memory.used_bytes == 0
