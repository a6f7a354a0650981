"""Decides what to believe of a store that was restored from an older copy.

Load pattern: the store is away for a moment and returns with a copy some
seconds old, at all routers at once. What was written since is missing until
the operators and the endpoints have written it again; what was removed since
is listed again until it is removed anew. During that time

- a configuration takes effect by its number only, which never falls;
- a failure domain stays out of service although the copy doesn't list it.
  If the operators really returned it, it comes back late, which costs less
  than work in a domain that is being emptied;
- an endpoint that was removed or drained since the copy stays away until it
  writes its entry again, or until all has been written and it is still
  listed. This holds for one that only a copy lacked, too;
- an order to roll out a version stays in force although the copy lacks it or
  has an earlier one, and one that was withdrawn stays so.

A removal or a write that a watch reports was made after the return, and
always counts. A router that starts meanwhile knows the copy only.
"""

import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core import types

# Time after the return in which the operators and the endpoints have written
# again what the copy lacks.
REWRITE_MS = 10_000.0
# A copy is some seconds old at most.
MAX_COPY_AGE_MS = 60_000.0


def is_copy(restored_ms: float | None, now_ms: float) -> bool:
    """Return whether a snapshot may still lack what was written before.

    :param restored_ms: time of the last return from a copy, if any.
    :param now_ms: current time.
    """
    return restored_ms is not None and now_ms - restored_ms < REWRITE_MS


def select_evacuated(
    listed: typing.Collection[types.FailureDomainId],
    known: typing.Collection[types.FailureDomainId],
    is_copied: bool,
) -> tuple[set[types.FailureDomainId], set[types.FailureDomainId]]:
    """Return the domains out of service, and those that the store lacks.

    :param listed: domains out of service in a snapshot.
    :param known: domains out of service before it.
    :param is_copied: whether the snapshot may be an older copy.
    """
    unlisted = set(known) - set(listed) if is_copied else set()
    return set(listed) | unlisted, unlisted


def select_orders(
    listed: typing.Mapping[types.ServiceId, model.RolloutOrder],
    known: typing.Mapping[types.ServiceId, model.RolloutOrder | None],
    is_copied: bool,
) -> tuple[
    dict[types.ServiceId, model.RolloutOrder],
    dict[types.ServiceId, model.RolloutOrder | None],
]:
    """Return the orders to roll out, and what the store lists instead.

    :param listed: orders in a snapshot.
    :param known: latest orders before it, None for one that was withdrawn.
    :param is_copied: whether the snapshot may be an older copy.
    """
    if not is_copied:
        return dict(listed), {}
    orders = dict(listed)
    doubtful: dict[types.ServiceId, model.RolloutOrder | None] = {}
    for service, order in known.items():
        other = listed.get(service)
        if other == order or _is_later(other, order):
            continue
        doubtful[service] = other
        orders.pop(service, None)
        if order is not None:
            orders[service] = order
    return orders, doubtful


def is_rewritten(
    order: model.RolloutOrder, before: model.RolloutOrder
) -> bool:
    """Tell whether an order has the contents of one that a copy lacked.

    :param order: the order.
    :param before: the latest order for the service before it.
    """
    return (order.version, order.duration_ms) == (
        before.version,
        before.duration_ms,
    )


def _is_later(
    other: model.RolloutOrder | None, order: model.RolloutOrder | None
) -> bool:
    """Tell whether a listed order was given after the latest known one."""
    if other is None or order is None:
        return False
    return other.revision > order.revision or is_rewritten(other, order)


class RemovedEndpoints:
    """Endpoints removed a short while ago, by incarnation."""

    def __init__(self) -> None:
        self._removed_ms: dict[model.EndpointIncarnation, float] = {}
        self._drained: set[model.EndpointIncarnation] = set()

    def record(self, entry: model.EndpointEntry, now_ms: float) -> None:
        """Remember a removal, and forget those that no copy contains.

        :param entry: latest entry of the removed incarnation.
        :param now_ms: current time.
        """
        self._removed_ms[entry.incarnation] = now_ms
        if entry.is_draining:
            self._drained.add(entry.incarnation)
        for key, removed_ms in list(self._removed_ms.items()):
            if now_ms - removed_ms >= MAX_COPY_AGE_MS:
                self.discard(key)

    def discard(self, endpoint: model.EndpointIncarnation) -> None:
        """Forget a removal, since the endpoint has written again."""
        self._removed_ms.pop(endpoint, None)
        self._drained.discard(endpoint)

    def has_drained(self, endpoint: model.EndpointIncarnation) -> bool:
        """Tell whether an incarnation was draining when it was removed."""
        return endpoint in self._drained

    def __contains__(self, endpoint: model.EndpointIncarnation) -> bool:
        return endpoint in self._removed_ms
