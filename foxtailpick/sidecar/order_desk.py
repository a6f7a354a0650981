"""Takes orders to the endpoint from operators and carries them out."""

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
from foxtailpick.router import problems


class OrderDesk:
    """The orders of one endpoint.

    :param endpoint: the endpoint.
    :param book: the wanted states.
    :param applier: carries them out.
    """

    def __init__(
        self,
        endpoint: types.EndpointId,
        book: orders.OrderStore,
        applier: order_applier.OrderApplier,
    ) -> None:
        self._endpoint = endpoint
        self._book = book
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
        """Build the desk of a sidecar.

        :param cfg: the sidecar's settings.
        :param incarnation: incarnation of its process.
        :param store: the platform's store.
        :param engine: the endpoint.
        :param monitor: checks the promises.
        """
        endpoint = types.EndpointId(cfg.node.id)
        book = orders.OrderStore(store, cfg.store.prefix)
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
            book,
            store,
            engine,
            schedule,
            monitor,
            rng,
            options,
        )
        return cls(endpoint, book, applier)

    async def run(self) -> typing.NoReturn:
        """Carry out what is wanted, for ever."""
        await self._applier.run()

    async def take(
        self, kind: base.OrderKind, target: str, issuer: str, change: str
    ) -> orders.DesiredState:
        """Add an order to the endpoint's wanted state.

        :param kind: what to do.
        :param target: the model, adapter or role.
        :param issuer: who wants it.
        :param change: id of the change; the same id is not repeated.
        :returns: the wanted state with the order.
        :raises errors.StoreError: if it was not, or may not have been,
            stored.
        """
        wanted = await self._book.issue(
            self._endpoint, kind, target, issuer, change
        )
        self._applier.wake()
        return wanted

    async def describe(self) -> dict[str, typing.Any]:
        """Return what is wanted and what is done.

        :raises errors.StoreError: if the store cannot be read.
        """
        return {
            'wanted': _describe(await self._book.read(self._endpoint)),
            'done': _describe(self._applier.applied),
        }


def make_routes(desk: OrderDesk) -> list[routing.Route]:
    """Return the routes of a desk.

    `POST` takes an order with `kind`, `target`, `issuer` and `change`;
    `GET` shows what is wanted and what is done.

    :param desk: the desk.
    """

    async def take(req: requests.Request) -> responses.Response:
        try:
            message = await req.json()
            kind = base.OrderKind(message['kind'])
            fields = [message[key] for key in ('target', 'issuer', 'change')]
            if not all(isinstance(item, str) and item for item in fields):
                raise ValueError('expected texts that are not empty')
        except (ValueError, LookupError, TypeError) as exc:
            return problems.make_response(
                errors.RequestError(
                    errors.ErrorCode.REQUEST_MALFORMED,
                    f'expected kind, target, issuer and change, got {exc!r}',
                )
            )
        try:
            wanted = await desk.take(kind, *fields)
        except errors.StoreError as exc:
            return problems.make_response(exc)
        return responses.JSONResponse(_describe(wanted))

    async def show(req: requests.Request) -> responses.Response:
        try:
            return responses.JSONResponse(await desk.describe())
        except errors.StoreError as exc:
            return problems.make_response(exc)

    return [
        routing.Route('/v1/orders', take, methods=['POST']),
        routing.Route('/v1/orders', show),
    ]


def _describe(state: orders.DesiredState) -> dict[str, typing.Any]:
    return {
        'number': state.number,
        'models': sorted(state.models),
        'adapters': sorted(state.adapters),
        'role': state.role,
        'issuer': state.issuer,
    }
