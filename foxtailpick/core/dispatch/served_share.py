"""Finds groups of requests that are served much less often than others.

Load pattern: a service is overloaded for long, and its order serves urgent or
small requests first. Without a bound, the least urgent kind, the largest
prompts or one account would get nothing at all.
"""

import dataclasses
import typing

# Decisions about a group below which chance explains its share.
MIN_DECIDED = 3.0
# Half-life of the decisions: some of the longest waits.
HALF_LIFE_MS = 5_000.0
# Groups with fewer decisions, decayed, are forgotten.
_MIN_KEPT = 0.05

# Names of a group, from the widest one around it: (), ('kind', 'chat').
Group = tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Tally:
    served: float = 0.0
    decided: float = 0.0


@dataclasses.dataclass(slots=True)
class ServedShares:
    """Decisions about the requests of a service, decayed by age.

    :param decayed_ms: time up to which they are decayed.
    """

    decayed_ms: float = 0.0
    _tallies: dict[Group, _Tally] = dataclasses.field(default_factory=dict)

    def record(
        self, groups: typing.Iterable[Group], is_served: bool, now_ms: float
    ) -> None:
        """Record the decision about a request.

        :param groups: the groups that it belongs to, with all around them.
        :param is_served: whether it was admitted, as opposed to refused.
        :param now_ms: current time.
        """
        self._decay(now_ms)
        for key in groups:
            tally = self._tallies.setdefault(key, _Tally())
            tally.decided += 1
            tally.served += is_served

    def is_behind(self, group: Group, around: Group, min_share: float) -> bool:
        """Tell whether a group is served too seldom.

        :param group: the group.
        :param around: the group that it is compared with.
        :param min_share: how often it is served at least, as a multiple of
            how often the other one is.
        """
        tally = self._tallies.get(group)
        whole = self._tallies.get(around)
        if tally is None or whole is None or tally.decided < MIN_DECIDED:
            return False
        return (
            tally.served * whole.decided
            < min_share * whole.served * tally.decided
        )

    def _decay(self, now_ms: float) -> None:
        factor = 0.5 ** ((now_ms - self.decayed_ms) / HALF_LIFE_MS)
        self.decayed_ms = now_ms
        if factor == 1:
            return
        for key, tally in list(self._tallies.items()):
            tally.served *= factor
            tally.decided *= factor
            if tally.decided < _MIN_KEPT:
                del self._tallies[key]
