"""Decides whether a watch of the store has missed a change.

Load pattern: the store is silent for a moment and loses the replies that fall
into it. A watch whose reply was lost reports nothing although its connection
is open, and no call of the router may have fallen into the same moment. So
the router reads the revision of the store at short intervals. It grows by one
with each change, also with those that other watches report. After a change of
an item that is neither watched nor listed, such as the state of a roll-out,
each watch is asked in vain.
"""

import collections

from foxtailpick.adapters import base
from foxtailpick.core import types

# Unreported changes after which a watch is asked in any case.
MAX_GAP = 4_096


class StoreProgress:
    """Revisions that the store has reached, and changes that were reported.

    :param report_ms: time in which a change is reported.
    """

    def __init__(self, report_ms: float) -> None:
        self._report_ms = report_ms
        # Times and revisions of probes within that time, and the one before.
        self._probes: collections.deque[tuple[float, types.Revision]] = (
            collections.deque()
        )
        self._reported: set[types.Revision] = set()

    def record_report(self, revision: types.Revision) -> None:
        """Note the revision of a change that is known here."""
        self._reported.add(revision)

    def record_probe(self, revision: types.Revision, now_ms: float) -> None:
        """Note a revision that the store has reached.

        :param revision: the revision.
        :param now_ms: current time.
        """
        # A probe may have read an older copy than the one before.
        before = self._probes[-1][1] if self._probes else revision
        self._probes.append((now_ms, max(before, revision)))
        while (
            len(self._probes) > 1
            and self._probes[1][0] <= now_ms - self._report_ms
        ):
            self._probes.popleft()
        # Watches that wait are asked at once if they are further behind.
        oldest = revision - MAX_GAP
        if len(self._reported) > 2 * MAX_GAP:
            self._reported = {item for item in self._reported if item > oldest}

    def clear(self) -> None:
        """Forget everything: revisions are given out again."""
        self._probes.clear()
        self._reported.clear()

    def is_overdue(self, position: base.Position, now_ms: float) -> bool:
        """Tell whether changes after a position should have been reported.

        :param position: position after which a watch waits.
        :param now_ms: current time.
        """
        reached = base.ABSENT
        for at_ms, revision in self._probes:
            if now_ms - at_ms >= self._report_ms:
                reached = revision
        if reached - position.revision > MAX_GAP:
            return True
        return any(
            revision not in self._reported
            for revision in range(position.revision + 1, reached + 1)
        )
