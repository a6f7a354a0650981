"""Tests of finding a watch that missed a change."""

import pytest

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import store_progress
from foxtailpick.core import types

REPORT_MS = 1_000.0


def make_progress(reported, probes):
    """Return what was reported, and probes as pairs of time and revision."""
    progress = store_progress.StoreProgress(REPORT_MS)
    for revision in reported:
        progress.record_report(types.Revision(revision))
    for at_ms, revision in probes:
        progress.record_probe(types.Revision(revision), at_ms)
    return progress


@pytest.mark.parametrize(
    ('reported', 'probes', 'now_ms', 'is_overdue'),
    [
        ((), (), 5_000.0, False),
        ((), ((0.0, 10),), 5_000.0, False),
        # The store is ahead, and has been for the time of a report.
        ((), ((0.0, 11),), 999.0, False),
        ((), ((0.0, 11),), 1_000.0, True),
        ((), ((0.0, 10), (500.0, 11)), 1_000.0, False),
        ((), ((0.0, 10), (500.0, 11)), 1_500.0, True),
        # Another watch reported all of it, or a part.
        ((11, 12), ((0.0, 12),), 1_000.0, False),
        ((12,), ((0.0, 12),), 1_000.0, True),
        # A probe of an old copy doesn't undo the one before.
        ((), ((0.0, 12), (400.0, 9)), 1_000.0, True),
        ((), ((0.0, 100_000),), 1_000.0, True),
    ],
)
def test_watch_is_overdue_after_an_unreported_change(
    reported, probes, now_ms, is_overdue
):
    progress = make_progress(reported, probes)
    position = base.Position(types.Revision(10))
    assert progress.is_overdue(position, now_ms) is is_overdue


def test_revisions_of_an_earlier_era_show_nothing():
    progress = make_progress((), ((0.0, 20),))
    progress.clear()
    position = base.Position(types.Revision(10))
    assert not progress.is_overdue(position, 2_000.0)


def test_memory_of_reports_is_bounded():
    progress = make_progress(range(50_000), ())
    progress.record_probe(types.Revision(50_000), 0.0)
    assert len(progress._reported) <= 2 * store_progress.MAX_GAP
