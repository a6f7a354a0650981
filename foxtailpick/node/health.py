"""Health, readiness and promise counters over HTTP."""

import typing

from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.core import invariants

HTTP_UNAVAILABLE = 503


def make_routes(
    check_ready: typing.Callable[[], bool],
) -> list[routing.Route]:
    """Create the routes that the platform's balancer asks.

    :param check_ready: function that tells whether new work is welcome.
    """

    async def health(req: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('alive')

    async def ready(req: requests.Request) -> responses.Response:
        if check_ready():
            return responses.PlainTextResponse('ready')
        return responses.PlainTextResponse(
            'not ready', status_code=HTTP_UNAVAILABLE
        )

    return [
        routing.Route('/health', health),
        routing.Route('/ready', ready),
    ]


def format_promises(monitor: invariants.Monitor) -> typing.Iterator[str]:
    """Yield how often each promise was checked and found broken.

    :param monitor: counts them.
    """
    for promise, checked in monitor.checked.items():
        label = f'{{promise="{promise.name.lower()}"}}'
        broken = monitor.violated[promise]
        yield f'foxtailpick_promise_checked_total{label} {checked}'
        yield f'foxtailpick_promise_broken_total{label} {broken}'
