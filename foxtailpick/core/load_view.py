"""A router's view of endpoint loads: possibly stale, never enforced.

Replies and refusals carry the load of the endpoint that sent them. Entries
expire: an endpoint that refused is avoided only until it may have room again.
"""

import typing

from foxtailpick.core import decision as decision_lib
from foxtailpick.core import load_bound
from foxtailpick.core import types

REFUSAL_TTL_MS = 500.0
MAX_LOCATIONS = 1_000
LOCATION_TTL_MS = 5_000.0
LOAD_TTL_MS = 3_000.0


class LoadView:
    """Last known loads by service and endpoint.

    :param refusal_ttl_ms: how long an endpoint that refused is avoided.
    """

    def __init__(self, refusal_ttl_ms: float = REFUSAL_TTL_MS) -> None:
        self._refusal_ttl_ms = refusal_ttl_ms
        self._full_until_ms: dict[types.EndpointId, float] = {}
        self._locations: dict[
            str, tuple[decision_lib.LocationHint, float]
        ] = {}
        self._loads: dict[
            types.ServiceId, dict[types.EndpointId, tuple[float, float]]
        ] = {}

    def observe(
        self,
        service: types.ServiceId,
        endpoint: types.EndpointId,
        admission: load_bound.Admission,
        now_ms: float,
    ) -> None:
        """Record the load carried by a reply or refusal.

        :param service: the service of the endpoint.
        :param endpoint: the endpoint that sent it.
        :param admission: the admission decision that it carries.
        :param now_ms: the current time.
        """
        loads = self._loads.setdefault(service, {})
        loads.pop(endpoint, None)
        loads[endpoint] = (admission.load_tokens, now_ms)
        if admission.is_admitted:
            self._full_until_ms.pop(endpoint, None)
        else:
            self._full_until_ms.pop(endpoint, None)
            self._full_until_ms[endpoint] = now_ms + self._refusal_ttl_ms
        self._evict_expired(now_ms)

    def record_location(
        self, key: str, hint: decision_lib.LocationHint, now_ms: float
    ) -> None:
        """Record where a request was admitted after a refusal.

        Requests of many callers of one hot chat have the same first choice;
        without the record each of them would be refused there first.

        :param key: the chat.
        :param hint: where it was admitted.
        :param now_ms: the current time.
        """
        self._locations.pop(key, None)
        self._locations[key] = (hint, now_ms + LOCATION_TTL_MS)
        if len(self._locations) > MAX_LOCATIONS:
            del self._locations[next(iter(self._locations))]

    def get_location(
        self, key: str, now_ms: float
    ) -> decision_lib.LocationHint | None:
        """Return the recorded location of a chat; it overrides a hint.

        :param key: the chat.
        :param now_ms: the current time.
        """
        hint, until_ms = self._locations.get(key, (None, 0.0))
        if until_ms > now_ms:
            return hint
        self._locations.pop(key, None)
        return None

    def list_full(
        self, now_ms: float
    ) -> dict[types.EndpointId, decision_lib.SkipReason]:
        """Return the endpoints to avoid, for `PlacementRequest.avoid`.

        :param now_ms: the current time.
        """
        self._evict_expired(now_ms)
        full = decision_lib.SkipReason.FULL
        return dict.fromkeys(self._full_until_ms, full)

    def get_mean_tokens(
        self, service: types.ServiceId, now_ms: float
    ) -> float | None:
        """Return the mean of recent loads, None if there are none.

        It is sent with requests, for a sidecar that receives no reports.
        Loads of refusals count as well: a mean over only those endpoints
        that admit would be too low and cause more refusals.

        :param service: requested service.
        :param now_ms: the current time.
        """
        self._evict_expired(now_ms)
        loads = self._loads.get(service)
        if not loads:
            return None
        return sum(load for load, _at_ms in loads.values()) / len(loads)

    def _evict_expired(self, now_ms: float) -> None:
        _evict_oldest_while(
            self._full_until_ms, lambda until_ms: until_ms <= now_ms
        )
        oldest_ms = now_ms - LOAD_TTL_MS
        for loads in self._loads.values():
            _evict_oldest_while(loads, lambda entry: entry[1] <= oldest_ms)


def _evict_oldest_while(
    entries: dict, is_expired: typing.Callable[[typing.Any], bool]
) -> None:
    # Entries are in insertion order, so the oldest come first.
    while entries:
        key = next(iter(entries))
        if not is_expired(entries[key]):
            return
        del entries[key]
