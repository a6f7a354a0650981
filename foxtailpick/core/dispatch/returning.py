"""Recognizes callers that come back after a refusal.

Load pattern: a service is overloaded, and most of the refused callers return.
Those that return when they were told are no newcomers. Some repeat at once and
often: they gain nothing over those that wait. A caller that returns to another
router can't be recognized there.
"""

import collections
import dataclasses
import typing

from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import model

# What a request is recognized by, in this process.
Key = typing.Hashable

# Refused requests that are remembered.
MAX_REFUSED = 4_096
# Callers are gone after this time.
MAX_AGE_MS = 15_000.0
# A caller whose clock or network is a little fast still returns in time.
SLACK_MS = 50.0


@dataclasses.dataclass(slots=True)
class Refused:
    """A refused request.

    :param first_ms: when its caller first came.
    :param return_ms: when the caller was asked to return.
    """

    first_ms: float
    return_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """When a request counts as arrived.

    :param ranked_ms: the time by which it is ordered.
    :param first_ms: when its caller first came.
    :param is_early: whether the caller returned before it was asked to.
    :param return_ms: when the caller was asked to return, None if it comes
        for the first time.
    """

    ranked_ms: float
    first_ms: float
    is_early: bool = False
    return_ms: float | None = None


def compute_key(
    signature: crash_quarantine.Signature, meta: model.RequestMeta
) -> Key:
    """Return what a request is recognized by when it comes again.

    :param signature: hash of the request without its headers.
    :param meta: its decoded headers, which may describe the prompt.
    """
    parts = tuple(part.id for part in meta.parts)
    return hash((signature, parts, meta.prompt_tokens, meta.output_tokens))


class RefusedRequests:
    """Requests that were refused recently, the oldest first."""

    def __init__(self) -> None:
        self._refused: collections.OrderedDict[Key, Refused] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._refused)

    def recognize(self, key: Key, now_ms: float) -> Arrival:
        """Return when a request that comes now counts as arrived.

        :param key: what the request is recognized by.
        :param now_ms: current time.
        """
        self._expire(now_ms)
        refused = self._refused.get(key)
        if refused is None:
            return Arrival(now_ms, now_ms)
        if now_ms < refused.return_ms - SLACK_MS:
            return Arrival(
                refused.return_ms, refused.first_ms, True, refused.return_ms
            )
        return Arrival(
            refused.first_ms, refused.first_ms, False, refused.return_ms
        )

    def record(
        self,
        key: Key,
        arrival: Arrival,
        return_ms: float,
        now_ms: float,
    ) -> None:
        """Remember a request that is refused.

        :param key: what the request is recognized by.
        :param arrival: when it counts as arrived.
        :param return_ms: when its caller is asked to return.
        :param now_ms: current time.
        """
        self._expire(now_ms)
        self._refused.pop(key, None)
        self._refused[key] = Refused(arrival.first_ms, return_ms)
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)

    def forget(self, key: Key) -> None:
        """Forget a request that was admitted.

        :param key: what the request is recognized by.
        """
        self._refused.pop(key, None)

    def _expire(self, now_ms: float) -> None:
        while self._refused:
            oldest = next(iter(self._refused.values()))
            if now_ms - oldest.return_ms <= MAX_AGE_MS:
                return
            self._refused.popitem(last=False)
