"""Bounds when a signal came that a busy process may have handled late.

Load pattern: a machine is so busy that a process does not run for some
time. A signal that comes meanwhile is handled afterwards, but the grace
period of the operators began when they sent it.
"""

import collections

# Delay of a check from which on the process counts as held up.
LATE_MS = 50.0
# A signal is handled within this many turns of a busy event loop, each of
# which may delay a check.
CHECKS = 3


class LoopChecks:
    """Times of the latest periodic checks in the event loop.

    :param interval_ms: time between two checks of a loop that is not busy.
    """

    def __init__(self, interval_ms: float) -> None:
        self._longest_ms = interval_ms + LATE_MS
        self._checked_ms: collections.deque[float] = collections.deque(
            maxlen=CHECKS
        )

    def record(self, now_ms: float) -> None:
        """Record a check.

        :param now_ms: current time.
        """
        self._checked_ms.append(now_ms)

    def find_earliest_ms(self, now_ms: float, turns: int = CHECKS) -> float:
        """Return when a signal that is handled now came at the earliest.

        :param now_ms: current time.
        :param turns: turns of the event loop that it may have waited, 1 for
            a signal handler, which runs between any two of its steps.
        """
        times_ms = [*self._checked_ms, now_ms][-turns - 1 :]
        for before_ms, after_ms in zip(times_ms, times_ms[1:], strict=False):
            if after_ms - before_ms > self._longest_ms:
                return before_ms
        return now_ms
