"""Decides how long the rest of a request is awaited.

Load pattern: clients send the body of a request a byte at a time, and hold
their connections for hours. The timeout of a request counts from its first
byte, so that one which takes longer than the longest timeout of all routes
could not be answered any more.
"""

import typing

from foxtailpick.core.dispatch import model

# Interval between two checks.
CHECK_INTERVAL_MS = 500.0


def compute_limit_ms(
    routes: typing.Iterable[model.Route], limits: model.Limits
) -> float:
    """Return the time in which a request has to arrive.

    :param routes: the routes in force; without any, a request waits for a
        configuration.
    :param limits: the limits in force.
    """
    longest_ms = max((route.timeout_ms for route in routes), default=0.0)
    if not longest_ms:
        longest_ms = limits.idle_timeout_ms
    return max(longest_ms, limits.header_timeout_ms)
