"""Rate of events, estimated by an exponentially decayed count."""

import dataclasses
import math

from foxtailpick.core import types

# Time constant; an answer takes about this long.
TIME_CONSTANT_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class DecayedRate:
    """Exponentially decayed count of events.

    :param count: the decayed count.
    :param decayed_ms: time up to which it is decayed.
    :param time_constant_ms: time constant of the decay.
    """

    count: float = 0.0
    decayed_ms: float = 0.0
    time_constant_ms: float = TIME_CONSTANT_MS

    def record(self, now_ms: float, amount: float = 1.0) -> None:
        """Record an event.

        :param now_ms: current time.
        :param amount: how much it counts.
        """
        self._decay(now_ms)
        self.count += amount

    def compute_per_s(self, now_ms: float) -> float:
        """Return the events per second.

        :param now_ms: current time.
        """
        self._decay(now_ms)
        return self.count * types.SECOND_MS / self.time_constant_ms

    def _decay(self, now_ms: float) -> None:
        passed_ms = now_ms - self.decayed_ms
        self.count *= math.exp(-passed_ms / self.time_constant_ms)
        self.decayed_ms = now_ms
