"""What endpoints announce of themselves in their responses.

Load pattern: endpoints of a service are replaced one after the other, or
turn requests away while they catch up, and many routers learn it at
different moments. An endpoint that announces that it leaves gets no new
request from this router, whatever the store or other routers say, until it
starts again. One that asks for a rest gets none until the rest is over. Both
are the endpoint's own word and no failure: its health is not affected.
"""

import dataclasses

from foxtailpick.core.dispatch import model

# Longest rest that is believed.
MAX_REST_MS = 600_000.0
# Announcements of incarnations that are not listed are kept for this time.
MEMORY_MS = 600_000.0
# Where all endpoints of a service leave, they are used for this time. It is
# less than the shortest time for which a leaving endpoint accepts requests.
LAST_USE_MS = 1_000.0
# Cached prompts are fetched from a leaving endpoint for this time.
FETCH_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Announcement:
    """The latest announcements of one incarnation of an endpoint.

    :param left_ms: when it first announced that it leaves, if it did.
    :param rest_until_ms: end of the rest that it asked for.
    """

    left_ms: float | None = None
    rest_until_ms: float = 0.0

    @property
    def is_leaving(self) -> bool:
        """Whether it announced that it leaves."""
        return self.left_ms is not None

    def is_resting(self, now_ms: float) -> bool:
        """Tell whether it asked for a rest that is not over.

        :param now_ms: current time.
        """
        return now_ms < self.rest_until_ms

    def has_left_since(self, limit_ms: float, now_ms: float) -> bool:
        """Tell whether it announced for the first time not long ago.

        :param limit_ms: how long ago it may be.
        :param now_ms: current time.
        """
        return self.left_ms is not None and now_ms - self.left_ms < limit_ms

    def record_leaving(self, now_ms: float) -> bool:
        """Note that it leaves; return whether this is new.

        :param now_ms: current time.
        """
        if self.left_ms is not None:
            return False
        self.left_ms = now_ms
        return True

    def record_rest(self, rest_ms: float, now_ms: float) -> float:
        """Note that it asked for a rest; return the time that is kept.

        :param rest_ms: length of the rest.
        :param now_ms: current time.
        """
        kept_ms = min(rest_ms, MAX_REST_MS)
        self.rest_until_ms = max(self.rest_until_ms, now_ms + kept_ms)
        return kept_ms


class Announcements:
    """Announcements by incarnation, also of those not listed any more."""

    def __init__(self) -> None:
        self._by_incarnation: dict[
            model.EndpointIncarnation, Announcement
        ] = {}
        self._used_ms: dict[model.EndpointIncarnation, float] = {}

    def find(
        self, endpoint: model.EndpointIncarnation, now_ms: float
    ) -> Announcement:
        """Return the announcements of an incarnation.

        :param endpoint: the incarnation.
        :param now_ms: current time.
        """
        self._used_ms[endpoint] = now_ms
        for key, used_ms in list(self._used_ms.items()):
            if now_ms - used_ms >= MEMORY_MS:
                del self._used_ms[key]
                self._by_incarnation.pop(key, None)
        return self._by_incarnation.setdefault(endpoint, Announcement())
