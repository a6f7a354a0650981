"""How the kinds of signatures of crashing requests are treated."""

import dataclasses

# Ends at nearly the same time have a common cause other than a prompt, such
# as the loss of a failure domain, so they count as one.
MIN_END_GAP_MS = 500.0
# Limit of memory and of reports.
MAX_SUSPECTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How signatures of one kind are treated.

    :param name: the kind, in log events and metrics.
    :param label: name of a signature in log lines.
    :param min_end_gap_ms: ends closer in time than this count as one.
    :param max_ends: number of ends from which on it is quarantined.
    :param max_repeatable_ends: number of ends up to which a request without
        a sound answer may be repeated.
    :param proven_ms: a signature counts as sound for this long after a sound
        answer, as far as retries are concerned.
    :param first_quarantine_ms: time until the first test.
    :param quarantine_factor: each test makes the time until the next one
        longer by this factor.
    :param max_tests: number of tests in all of the fleet, None for as many
        as fail one after the other.
    :param keeps_sound: whether sound answers are recorded before there is a
        suspicion.
    :param max_sound: number of signatures whose sound answers are recorded.
    :param max_reported: number of suspects in a report.
    :param min_listed_ends: number of ends from which on totals list it.
    :param max_listed: number of signatures in the totals.
    """

    name: str
    label: str
    min_end_gap_ms: float
    max_ends: int
    max_repeatable_ends: int
    proven_ms: float
    first_quarantine_ms: float
    quarantine_factor: float
    max_tests: int | None
    keeps_sound: bool
    max_sound: int
    max_reported: int
    min_listed_ends: int
    max_listed: int


# No two requests with a crashing part are alike, and each endpoint that ends
# makes suspects of all parts of its requests.
PARTS = Policy(
    name='prompt',
    label='part',
    min_end_gap_ms=MIN_END_GAP_MS,
    max_ends=3,
    max_repeatable_ends=0,
    proven_ms=120_000.0,
    first_quarantine_ms=15_000.0,
    quarantine_factor=3.0,
    max_tests=None,
    keeps_sound=True,
    max_sound=4_096,
    max_reported=16,
    min_listed_ends=1,
    max_listed=32,
)
# One request may be at several endpoints at once, all of which it crashes.
# That distinct endpoints end under the same request is seldom by chance.
REQUESTS = Policy(
    name='signature',
    label='signature',
    min_end_gap_ms=0.0,
    max_ends=3,
    max_repeatable_ends=1,
    proven_ms=0.0,
    first_quarantine_ms=6_000.0,
    quarantine_factor=5.0,
    max_tests=2,
    keeps_sound=False,
    max_sound=512,
    max_reported=MAX_SUSPECTS,
    min_listed_ends=2,
    max_listed=64,
)
