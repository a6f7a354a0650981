"""Accepts orders to the endpoint from operators and applies them."""

import json
import random
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import order_applier
from foxtailpick.core import orders
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.core import weight_loads
from foxtailpick.node import request_bodies
from foxtailpick.router import problems


class OrderDesk:
    """The orders of one endpoint.

    :param endpoint: the endpoint.
    :param order_store: stores the desired states.
    :param applier: applies them to the endpoint.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        order_store: orders.OrderStore,
        applier: order_applier.OrderApplier,
    ) -> None:
        self._endpoint = endpoint
        self._order_store = order_store
        self._applier = applier

    @classmethod
    def from_settings(
        cls,
        cfg: settings.SidecarSettings,
        incarnation: types.Incarnation,
        store: base.KeyValue,
        engine: base.Engine,
        monitor: invariants.Monitor,
    ) -> 'OrderDesk':
        """Create the order desk of a sidecar.

        :param cfg: settings of the sidecar.
        :param incarnation: incarnation of this process.
        :param store: the platform's store.
        :param engine: the endpoint.
        :param monitor: checks the invariants.
        """
        endpoint = types.EndpointId(cfg.node.id)
        order_store = orders.OrderStore(store, cfg.store.prefix)
        rng = random.Random()
        schedule = weight_loads.WeightSchedule(
            store,
            f'{cfg.store.prefix}loads',
            weight_loads.LoadOptions(
                cfg.weights.max_loads, cfg.weights.load_time
            ),
            clock_lib.Clock.from_wall(),
            rng,
        )
        options = order_applier.ApplyOptions(
            is_checking_fencing=cfg.endpoint.checks_fencing,
            peers=cfg.weights.peers,
        )
        applier = order_applier.OrderApplier(
            endpoint,
            f'{endpoint}/{incarnation}',
            order_store,
            store,
            engine,
            schedule,
            monitor,
            rng,
            options,
        )
        return cls(endpoint, order_store, applier)

    async def run(self) -> typing.NoReturn:
        """Apply the desired state, until cancelled."""
        await self._applier.run()

    async def submit(
        self, kind: base.OrderKind, target: str, issuer: str, change: str
    ) -> orders.DesiredState:
        """Add an order to the endpoint's desired state.

        :param kind: what to do.
        :param target: the model, adapter or role.
        :param issuer: who issued it.
        :param change: id of the change; a repeated id has no effect.
        :returns: the desired state with the order.
        :raises errors.StoreError: if it was not stored, or the outcome is
            unknown.
        """
        desired = await self._order_store.issue(
            self._endpoint, kind, target, issuer, change
        )
        self._applier.wake()
        return desired

    async def read_states(self) -> dict[str, typing.Any]:
        """Return the desired state and the state already applied.

        :raises errors.StoreError: if the store cannot be read.
        """
        return {
            'wanted': _format_state(
                await self._order_store.read(self._endpoint)
            ),
            'done': _format_state(self._applier.applied),
        }


def make_routes(desk: OrderDesk) -> list[routing.Route]:
    """Return the HTTP routes of an order desk.

    `POST` accepts an order with `kind`, `target`, `issuer` and `change`;
    `GET` returns the desired state and the state already applied.

    :param desk: the order desk.
    """

    async def post_order(req: requests.Request) -> responses.Response:
        try:
            message = json.loads(await request_bodies.read_body(req))
            kind = base.OrderKind(message['kind'])
            fields = [message[key] for key in ('target', 'issuer', 'change')]
            if not all(isinstance(item, str) and item for item in fields):
                raise ValueError('expected non-empty strings')
        except errors.RequestError as exc:
            return problems.make_response(exc)
        except (ValueError, LookupError, TypeError) as exc:
            return problems.make_response(
                errors.RequestError(
                    errors.ErrorCode.REQUEST_MALFORMED,
                    f'expected kind, target, issuer and change, got {exc!r}',
                )
            )
        try:
            desired = await desk.submit(kind, *fields)
        except errors.StoreError as exc:
            return problems.make_response(exc)
        return responses.JSONResponse(_format_state(desired))

    async def get_orders(req: requests.Request) -> responses.Response:
        try:
            return responses.JSONResponse(await desk.read_states())
        except errors.StoreError as exc:
            return problems.make_response(exc)

    return [
        routing.Route('/v1/orders', post_order, methods=['POST']),
        routing.Route('/v1/orders', get_orders),
    ]


def _format_state(state: orders.DesiredState) -> dict[str, typing.Any]:
    return {
        'number': state.number,
        'models': sorted(state.models),
        'adapters': sorted(state.adapters),
        'role': state.role,
        'issuer': state.issuer,
    }
