"""A router's view of endpoint loads: possibly stale, never enforced.

Replies and refusals carry the load of the endpoint that sent them. Entries
expire: an endpoint that refused is avoided only until it may have room again.
"""

import typing

from foxtailpick.core import decision as decision_lib
from foxtailpick.core import load_bound
from foxtailpick.core import types

FULL_LIFE_MS = 500.0
MAX_PLACES = 1_000
PLACE_LIFE_MS = 5_000.0
SEEN_LIFE_MS = 3_000.0


class LoadView:
    """Last known loads by service and endpoint.

    :param full_life_ms: how long an endpoint that refused is avoided.
    """

    def __init__(self, full_life_ms: float = FULL_LIFE_MS) -> None:
        self._full_life_ms = full_life_ms
        self._full_until_ms: dict[types.EndpointId, float] = {}
        self._places: dict[str, tuple[decision_lib.LocationHint, float]] = {}
        self._seen: dict[
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
        seen = self._seen.setdefault(service, {})
        seen.pop(endpoint, None)
        seen[endpoint] = (admission.load_tokens, now_ms)
        if admission.is_admitted:
            self._full_until_ms.pop(endpoint, None)
        else:
            self._full_until_ms.pop(endpoint, None)
            self._full_until_ms[endpoint] = now_ms + self._full_life_ms
        self._forget_old(now_ms)

    def remember_place(
        self, key: str, hint: decision_lib.LocationHint, now_ms: float
    ) -> None:
        """Record where a request was admitted after a refusal.

        Requests of many callers of one hot chat have the same first choice;
        without the record each of them would be refused there first.

        :param key: the chat.
        :param hint: where it was admitted.
        :param now_ms: the current time.
        """
        self._places.pop(key, None)
        self._places[key] = (hint, now_ms + PLACE_LIFE_MS)
        if len(self._places) > MAX_PLACES:
            del self._places[next(iter(self._places))]

    def get_place(
        self, key: str, now_ms: float
    ) -> decision_lib.LocationHint | None:
        """Return the recorded location of a chat; it overrides a hint.

        :param key: the chat.
        :param now_ms: the current time.
        """
        hint, until_ms = self._places.get(key, (None, 0.0))
        if until_ms > now_ms:
            return hint
        self._places.pop(key, None)
        return None

    def list_full(
        self, now_ms: float
    ) -> dict[types.EndpointId, decision_lib.PassReason]:
        """Return the endpoints to avoid, for `PlacementRequest.avoid`.

        :param now_ms: the current time.
        """
        self._forget_old(now_ms)
        full = decision_lib.PassReason.FULL
        return dict.fromkeys(self._full_until_ms, full)

    def get_mean_tokens(
        self, service: types.ServiceId, now_ms: float
    ) -> float | None:
        """Return the mean of recent loads, None if there are none.

        It is sent with requests, for a sidecar that hears no peer. Loads of
        refusals count as well: a mean over only those endpoints that admit
        would be too low and cause more refusals.

        :param service: requested service.
        :param now_ms: the current time.
        """
        self._forget_old(now_ms)
        seen = self._seen.get(service)
        if not seen:
            return None
        return sum(load for load, _at_ms in seen.values()) / len(seen)

    def _forget_old(self, now_ms: float) -> None:
        _drop_first_while(
            self._full_until_ms, lambda until_ms: until_ms <= now_ms
        )
        oldest_ms = now_ms - SEEN_LIFE_MS
        for seen in self._seen.values():
            _drop_first_while(seen, lambda entry: entry[1] <= oldest_ms)


def _drop_first_while(
    entries: dict, is_old: typing.Callable[[typing.Any], bool]
) -> None:
    # Entries are in insertion order, so the oldest come first.
    while entries:
        key = next(iter(entries))
        if not is_old(entries[key]):
            return
        del entries[key]
