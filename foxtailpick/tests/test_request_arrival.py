"""Tests of how long the rest of a request is awaited."""

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import request_arrival

LIMITS = model.Limits(header_timeout_ms=3_000.0, idle_timeout_ms=60_000.0)


def make_route(timeout_ms):
    return model.Route(
        name='book',
        host='h',
        prefix='/',
        targets=(),
        kind=model.RequestKind.UNSAFE,
        timeout_ms=timeout_ms,
        target_ms=500.0,
        abandon_after_ms=1_000.0,
        priority=1,
        max_attempts=1,
        is_anonymous=True,
        is_resumable=False,
    )


@pytest.mark.parametrize(
    ('timeouts', 'expected'),
    [
        # A request of the slowest route may still be answered.
        ([2_000, 9_000, 4_000], 9_000.0),
        # The time for the headers is the operators' own limit.
        ([2_000], 3_000.0),
        ([], 60_000.0),
    ],
)
def test_time_for_a_request(timeouts, expected):
    routes = [make_route(timeout) for timeout in timeouts]
    assert request_arrival.compute_limit_ms(routes, LIMITS) == expected
