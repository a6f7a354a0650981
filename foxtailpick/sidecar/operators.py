"""HTTP application of a sidecar for operators and the platform."""

import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.adapters import http_connections
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import health
from foxtailpick.sidecar import order_desk
from foxtailpick.sidecar import worker as worker_lib


def make_operator_app(
    worker: worker_lib.Worker,
    node: config_node_lib.ConfigNode,
    monitor: invariants.Monitor,
    desk: order_desk.OrderDesk | None = None,
) -> typing.Any:
    """Create the application.

    :param worker: runs the attempts.
    :param node: holds the configuration in force.
    :param monitor: counts the checks of invariants.
    :param desk: accepts orders to the endpoint, None if it takes none.
    """
    slow_start = worker.gate.slow_start

    def is_ready() -> bool:
        is_open = slow_start.state not in (
            types.EndpointState.DRAINING,
            types.EndpointState.GONE,
        )
        return node.is_ready() and is_open

    async def drain(req: requests.Request) -> responses.Response:
        slow_start.drain()
        return responses.JSONResponse({'state': slow_start.state.value})

    async def undrain(req: requests.Request) -> responses.Response:
        slow_start.undrain()
        return responses.JSONResponse({'state': slow_start.state.value})

    async def status(req: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                'state': slow_start.state.value,
                'number': node.current.number,
                'in_flight': slow_start.in_flight,
                'waiting': worker.gate.queue_length,
                'load': worker.gate.pool.load,
            }
        )

    async def metrics(req: requests.Request) -> responses.Response:
        lines = [
            f'foxtailpick_in_flight {slow_start.in_flight}',
            f'foxtailpick_waiting {worker.gate.queue_length}',
            f'foxtailpick_load {worker.gate.pool.load:g}',
            *health.format_invariants(monitor),
            *http_connections.format_metrics(),
        ]
        return responses.PlainTextResponse('\n'.join(lines) + '\n')

    return applications.Starlette(
        routes=[
            routing.Route('/v1/drain', drain, methods=['POST']),
            routing.Route('/v1/undrain', undrain, methods=['POST']),
            routing.Route('/v1/status', status),
            routing.Route('/metrics', metrics),
            *([] if desk is None else order_desk.make_routes(desk)),
            *health.make_routes(is_ready),
        ]
    )
