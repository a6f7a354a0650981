"""Paces the calls to the platform's store.

Load pattern: several hundred routers read the same store, and each of them
is woken by each change while endpoints are replaced one after the other.
Changes are therefore collected for a part of the time in which they have to
be in force, so that the calls of a router depend on that time and not on
the number of changes. Without changes a watch waits as long as the store
keeps its history: after a longer wait the store could not tell whether there
was a change, and each router would read everything again. A keep-alive of
its connection finds out if it went silent.

A store that was silent for a moment may have lost the reply to a watch, which
then reports nothing although its connection is open. Cheap probes find this:
each returns the revision of the store, as of some time ago, see
`store_progress`. One that fails shows an outage that no other call may see.

A watch reports each change in full, also those that later ones supersede. If
large items change in quick succession over a slow link, their transfer takes
longer than it takes until the next ones are made. Then the items are read
themselves, which contain the newest changes only, until there are no more.

Routers do not watch each other: the restart of the whole fleet would wake
each of them once for each of the others. They read the list of routers at
intervals that grow with the fleet, as does the list.
"""

import random
import typing

from foxtailpick.adapters import base

# Below the longest wait that the store allows, 30 s.
WATCH_MS = 20_000.0
# Share of the time for which the store keeps its history, with the jitter.
HISTORY_SHARE = 0.6
# Jitter of watches and list reads, as a factor, so that routers that were
# started together do not call the store at the same moments.
JITTER = 0.2
# Share of the shortest time in which a change has to be in force. The rest
# is left for a lost call and its repetition.
CHANGE_GAP_SHARE = 0.3
# Interval of the probes, as a share of the same time. A few of them, and what
# is kept for a while after an outage, fit into the time after which the
# operators hold a router to its bounds again.
PROBE_SHARE = 0.25
# Wait of a watch that is asked at once.
CHECK_WAIT_MS = 1.0
# Superseded data in one response of a watch from which on the items are read
# instead: at 5 Mbit/s its transfer takes a tenth of a second.
MAX_SUPERSEDED_BYTES = 65_536
# The first reads of the list of routers, while the fleet starts, and the
# interval of later ones for each router.
FIRST_LIST_DELAYS_MS = (0.0, 500.0, 1_000.0, 2_000.0)
FIRST_LISTS = len(FIRST_LIST_DELAYS_MS)
LIST_INTERVAL_PER_ROUTER_MS = 150.0
MIN_LIST_INTERVAL_MS = 5_000.0


def compute_watch_ms(history_ms: float, rng: random.Random) -> float:
    """Return how long a watch waits for changes.

    :param history_ms: how long the store keeps the history of changes.
    :param rng: source of random numbers.
    """
    longest_ms = min(WATCH_MS, HISTORY_SHARE * history_ms)
    return longest_ms * rng.uniform(1 - JITTER, 1 + JITTER)


def compute_change_gap_ms(bound_ms: float) -> float:
    """Return the shortest time between two reads of changes.

    :param bound_ms: time in which a change has to be in force.
    """
    return CHANGE_GAP_SHARE * bound_ms


def compute_probe_interval_ms(bound_ms: float, rng: random.Random) -> float:
    """Return the time between two probes of the store.

    :param bound_ms: time in which a change has to be in force.
    :param rng: source of random numbers.
    """
    return PROBE_SHARE * bound_ms * rng.uniform(1 - JITTER, 1 + JITTER)


def is_falling_behind(changes: typing.Sequence[base.Change]) -> bool:
    """Tell whether the items should be read instead of their changes.

    :param changes: the changes in one response of a watch.
    """
    superseded_bytes = 0
    later: set[str] = set()
    for change in reversed(changes):
        if change.key in later and change.entry is not None:
            superseded_bytes += len(change.entry.value)
        later.add(change.key)
    return superseded_bytes > MAX_SUPERSEDED_BYTES


def compute_list_delay_ms(
    reads: int, routers: int, rng: random.Random
) -> float:
    """Return the time until the list of routers is read again.

    :param reads: number of reads so far.
    :param routers: number of routers in the list.
    :param rng: source of random numbers.
    """
    if reads < FIRST_LISTS:
        delay_ms = FIRST_LIST_DELAYS_MS[reads]
    else:
        delay_ms = max(
            MIN_LIST_INTERVAL_MS, LIST_INTERVAL_PER_ROUTER_MS * routers
        )
    return delay_ms * rng.uniform(1 - JITTER, 1 + JITTER)
