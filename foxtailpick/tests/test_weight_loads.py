"""Tests of the schedule of loads, in virtual time."""

import random

import hypothesis
from hypothesis import strategies
import pytest
import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import weight_loads
from foxtailpick.standins import keyvalue
from foxtailpick.standins import weights

OPTIONS = weight_loads.LoadOptions(limit=3, load_ms=20_000.0)


@pytest.fixture
def store():
    return keyvalue.KeyValueState(lambda: trio.current_time() * 1_000.0)


def make_schedule(store, seed):
    return weight_loads.WeightSchedule(
        keyvalue.MemoryKeyValue(store),
        'loads',
        OPTIONS,
        clock_lib.Clock.from_trio(),
        random.Random(seed),
    )


async def load(store, source, seed):
    schedule = make_schedule(store, seed)
    reservation = await schedule.reserve(f'e{seed}', 30)
    assert await schedule.wait_for_start(reservation)
    await source.fetch()
    return reservation


@pytest.mark.parametrize('fault', [None, 'lost_replies', 'lost_requests'])
async def test_loads_stay_within_the_limit_without_long_gaps(
    autojump_clock, store, fault
):
    source = weights.WeightStoreState(OPTIONS.limit, OPTIONS.load_ms)
    if fault:
        setattr(store.faults, fault, 5)
    async with trio.open_nursery() as nursery:
        for seed in range(30):
            nursery.start_soon(load, store, source, seed)
    assert source.served == 30
    assert source.refused == 0
    ideal_s = 30 / OPTIONS.limit * OPTIONS.span_ms / 1_000.0
    assert trio.current_time() <= ideal_s + 60.0


async def test_without_the_store_the_start_is_random(autojump_clock, store):
    store.take_down()
    reservation = await make_schedule(store, 1).reserve('e1', 30)
    assert not reservation.is_scheduled
    assert 0.0 <= reservation.start_ms <= 30 * OPTIONS.span_ms / OPTIONS.limit


async def test_late_holder_may_not_start(autojump_clock, store):
    reservation = await make_schedule(store, 1).reserve('e1', 30, 5_000.0)
    assert reservation.start_ms == 5_000.0
    assert not reservation.may_start(4_999.0, OPTIONS)
    assert reservation.may_start(5_000.0 + OPTIONS.grace_ms, OPTIONS)
    assert not reservation.may_start(5_001.0 + OPTIONS.grace_ms, OPTIONS)


@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 200_000.0), max_size=20),
    strategies.floats(0.0, 100_000.0),
)
def test_start_never_exceeds_the_limit(starts_ms, now_ms):
    reservations = []
    for number, at_ms in enumerate(sorted(starts_ms)):
        start_ms = weight_loads.find_start_ms(reservations, at_ms, OPTIONS)
        end_ms = start_ms + OPTIONS.span_ms
        reservations.append(
            weight_loads.Reservation(f'e{number}', '', start_ms, end_ms)
        )
    found_ms = weight_loads.find_start_ms(reservations, now_ms, OPTIONS)
    assert found_ms >= now_ms
    for point_ms in [found_ms, *(item.start_ms for item in reservations)]:
        running = [
            item
            for item in reservations
            if item.start_ms <= point_ms < item.end_ms
        ]
        assert len(running) <= OPTIONS.limit
