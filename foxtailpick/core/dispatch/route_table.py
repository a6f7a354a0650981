"""Determines the route, the account and the service of a request."""

import random
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.core import types


class RouteTable:
    """Routes by host and path prefix, built once per configuration.

    :param routes: the routes.
    """

    def __init__(self, routes: typing.Iterable[model.Route]) -> None:
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> model.Route | None:
        """Return the route with the longest matching path prefix.

        :param host: value of the Host header.
        :param target: path, with its query if any.
        """
        by_prefix = self._by_host.get(_normalize_host(host))
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind('/')
        # Every prefix ends with a slash, so a match can only end at a slash
        # of the path.
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def _normalize_host(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return (name if colon and port.isdigit() else host).lower()


def find_account(
    cfg: model.GatewayConfig, route: model.Route, key: str | None
) -> model.Account | None:
    """Return the account that a request belongs to.

    :param cfg: the active configuration.
    :param route: route of the request.
    :param key: key of the request, None if it has none.
    :returns: None if requests need no key.
    :raises errors.RequestError: with code `ACCOUNT_UNKNOWN`.
    """
    if route.is_anonymous or not cfg.has_accounts:
        return None
    account = cfg.accounts.get(key) if key is not None else None
    if account is None:
        raise errors.RequestError(
            errors.ErrorCode.ACCOUNT_UNKNOWN,
            'expected the key of a client account, got '
            f'{"an unknown one" if key else "none"}; ask the operators',
        )
    return account


def choose_service(route: model.Route, rng: random.Random) -> types.ServiceId:
    """Choose the service of a request at random by the route's weights.

    :param route: a route with at least one target.
    :param rng: source of random numbers.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
