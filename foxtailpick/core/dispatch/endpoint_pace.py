"""Estimates how long work takes at each endpoint, relative to the usual.

Load pattern: endpoints share their machines with others. At any moment some
take 2.5 times as long for half a second, and one may take five times as long
for seconds. Some state this in their responses, many times a second; of
others only their answers tell. A router gets few answers of each endpoint, so
that routers share what they know.

The pace of an endpoint is the time that work takes there as a multiple of the
usual. Evidence has a weight that decays with its age, and a constant weight
on the usual pace takes over as it does: an old figure is worth less, and an
endpoint that nobody hears of counts as usual. Sums of evidence smooth figures
that change many times a second, and those of several routers add up. The
lasting pace follows the pace slowly, for decisions that take some time to
have an effect.
"""

import dataclasses
import math

# Time constant of the decay. A change is followed within about this time.
TIME_CONSTANT_MS = 700.0
# Time constant of the lasting pace, well above the time for which a machine
# is usually busy.
LASTING_TIME_CONSTANT_MS = 2_500.0
# Weights of a stated figure, of an answer, whose time depends on its request
# as well, and of the usual pace.
STATED_WEIGHT = 1.0
ANSWER_WEIGHT = 0.3
USUAL_WEIGHT = 0.25
# Paces beyond these count as these: a single figure must not outweigh many.
MIN_PACE = 0.25
MAX_PACE = 8.0
# An endpoint counts as slow from this pace on.
SLOW_PACE = 1.5
# Evidence of less weight is not told to other routers.
MIN_TOLD_WEIGHT = 0.1
# Nor is evidence that differs less from the usual pace, unless others told
# of an unusual one.
MIN_TOLD_DIFFERENCE = 0.2

# Weight and weighted sum of paces.
Sums = tuple[float, float]
NO_SUMS: Sums = (0.0, 0.0)


@dataclasses.dataclass(slots=True)
class Evidence:
    """Decayed evidence on the pace of an endpoint.

    :param weight: its weight.
    :param total: sum of the paces, by weight.
    :param decayed_ms: time up to which it is decayed.
    """

    weight: float = 0.0
    total: float = 0.0
    decayed_ms: float = 0.0

    def add(self, pace: float, weight: float, now_ms: float) -> None:
        """Add evidence.

        :param pace: time that work took, as a multiple of the usual.
        :param weight: weight of the evidence.
        :param now_ms: current time.
        """
        self.weight, self.total = self.compute_sums(now_ms)
        self.decayed_ms = now_ms
        self.weight += weight
        self.total += weight * min(max(pace, MIN_PACE), MAX_PACE)

    def compute_sums(self, now_ms: float) -> Sums:
        """Return the weight and the weighted sum at a time.

        :param now_ms: the time.
        """
        return decay(
            (self.weight, self.total), max(0.0, now_ms - self.decayed_ms)
        )


@dataclasses.dataclass(slots=True)
class EndpointPace:
    """Pace of an endpoint, as this router knows it.

    :param own: what this router has read and measured.
    :param others: what other routers have told.
    :param heard_ms: time of the latest evidence, None before the first.
    :param own_ms: time of the latest of it that this router got, None before
        the first.
    :param is_stated: whether the endpoint states its pace.
    :param lasting: the lasting pace.
    :param lasting_ms: time of the lasting pace.
    """

    own: Evidence = dataclasses.field(default_factory=Evidence)
    others: Evidence = dataclasses.field(default_factory=Evidence)
    heard_ms: float | None = None
    own_ms: float | None = None
    is_stated: bool = False
    lasting: float = 1.0
    lasting_ms: float = 0.0

    def record_stated(self, pace: float, now_ms: float) -> None:
        """Add a figure that the endpoint states.

        :param pace: the figure, as a multiple of the usual time.
        :param now_ms: current time.
        """
        self.is_stated = True
        self._add(pace, STATED_WEIGHT, now_ms)

    def record_answer(
        self, took_ms: float, usual_ms: float, now_ms: float
    ) -> None:
        """Compare the time of an answer with the usual one.

        :param took_ms: time that it took.
        :param usual_ms: time that it usually takes, above 0.
        :param now_ms: current time.
        """
        self._add(took_ms / usual_ms, ANSWER_WEIGHT, now_ms)

    def _add(self, pace: float, weight: float, now_ms: float) -> None:
        self._follow(now_ms)
        self.heard_ms = self.own_ms = now_ms
        self.own.add(pace, weight, now_ms)

    def set_others(self, sums: Sums, age_ms: float, now_ms: float) -> None:
        """Replace what other routers have told.

        :param sums: their evidence.
        :param age_ms: age of the latest of it.
        :param now_ms: current time.
        """
        self._follow(now_ms)
        self.others = Evidence(*sums, now_ms)
        if sums[0] > 0:
            heard_ms = now_ms - age_ms
            self.heard_ms = max(self.heard_ms or heard_ms, heard_ms)

    def compute(self, now_ms: float) -> float:
        """Return the pace, 1 for the usual one.

        :param now_ms: current time.
        """
        if self.heard_ms is None:
            return 1.0
        weight, total = add_sums(
            self.own.compute_sums(now_ms), self.others.compute_sums(now_ms)
        )
        return (USUAL_WEIGHT + total) / (USUAL_WEIGHT + weight)

    def compute_lasting(self, now_ms: float) -> float:
        """Return the lasting pace, 1 for the usual one.

        :param now_ms: current time.
        """
        age_ms = max(0.0, now_ms - self.lasting_ms)
        factor = math.exp(-age_ms / LASTING_TIME_CONSTANT_MS)
        return factor * self.lasting + (1 - factor) * self.compute(now_ms)

    def _follow(self, now_ms: float) -> None:
        self.lasting = self.compute_lasting(now_ms)
        self.lasting_ms = now_ms

    def is_slow(self, now_ms: float) -> bool:
        """Tell whether work takes much longer than usual there.

        :param now_ms: current time.
        """
        return self.compute(now_ms) >= SLOW_PACE

    def compute_age_ms(self, now_ms: float) -> int | None:
        """Return the age of the latest evidence, None if there is none.

        :param now_ms: current time.
        """
        return None if self.heard_ms is None else round(now_ms - self.heard_ms)

    def compute_own_age_ms(self, now_ms: float) -> int:
        """Return the age of the latest own evidence, 0 if there is none.

        :param now_ms: current time.
        """
        return 0 if self.own_ms is None else round(now_ms - self.own_ms)

    def needs_report(self, now_ms: float) -> bool:
        """Tell whether other routers should hear of the own evidence.

        :param now_ms: current time.
        """
        weight, total = self.own.compute_sums(now_ms)
        if weight < MIN_TOLD_WEIGHT:
            return False
        is_unusual = abs(total / weight - 1) >= MIN_TOLD_DIFFERENCE
        others, _ = self.others.compute_sums(now_ms)
        return is_unusual or others >= MIN_TOLD_WEIGHT


def decay(sums: Sums, age_ms: float) -> Sums:
    """Return evidence as it counts some time later.

    :param sums: the evidence.
    :param age_ms: the time.
    """
    factor = math.exp(-age_ms / TIME_CONSTANT_MS)
    return sums[0] * factor, sums[1] * factor


def add_sums(first: Sums, second: Sums) -> Sums:
    """Return the sum of two pieces of evidence."""
    return first[0] + second[0], first[1] + second[1]


def subtract_sums(first: Sums, second: Sums) -> Sums:
    """Return evidence without a part of it, at least none."""
    weight = max(0.0, first[0] - second[0])
    return weight, max(0.0, first[1] - second[1]) if weight else 0.0
