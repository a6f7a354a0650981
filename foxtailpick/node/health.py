"""Health and readiness routes over HTTP, and counters of invariants."""

import typing

from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.core import invariants

HTTP_UNAVAILABLE = 503


def make_routes(
    check_ready: typing.Callable[[], bool],
) -> list[routing.Route]:
    """Create the health check routes for the platform's load balancer.

    :param check_ready: tells whether the process accepts new work.
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


def format_invariants(monitor: invariants.Monitor) -> typing.Iterator[str]:
    """Yield metrics of the checks and violations of each invariant.

    The metric names and the label say `promise`.

    :param monitor: counts the checks and violations.
    """
    for invariant, checked in monitor.checked.items():
        label = f'{{promise="{invariant.name.lower()}"}}'
        violated = monitor.violated[invariant]
        yield f'foxtailpick_promise_checked_total{label} {checked}'
        yield f'foxtailpick_promise_broken_total{label} {violated}'
