"""Evidence about the versions of a service during a roll-out.

Load pattern: many routers each send few requests to the new version, on
several routes, and their messages may be lost, doubled or late. Answers are
counted in windows of time by route and group of endpoints. A row of a window
replaces its earlier form, so that each answer counts once however often it
is told. Old and new versions are counted in the same windows, so that a
fault that affects both shows as such.
"""

import dataclasses
import math
import typing

import cbor2
import xxhash

from foxtailpick.core import types

# Latency classes: each is this many times as long as the one before.
CLASS_FACTOR = 2.0 ** (1 / 3)
MAX_CLASS = 50
# Endpoints of the new version are counted in so many groups by their ids, as
# a single bad endpoint is no bad version. The old version is group 0.
GROUPS = 8
OLD_GROUP = 0
# A roll-out has about so many windows, of this length at least.
WINDOWS = 30
MIN_WINDOW_MS = 2_000.0
# An entry of a message fits into one packet, with its head.
MAX_ENTRY_BYTES = 1_200
MAX_ENTRIES = 3
# Rows without news that are repeated in a message, since any may get lost.
MAX_REPEATED = 8
# Rows on more routes than this are not kept.
MAX_ROUTES = 64
MAX_NAME_CHARS = 200
# Whole streams are counted beside their first events, under the name of the
# route with this suffix.
WHOLE_SUFFIX = ' (whole)'
MAX_COUNT = 10_000_000
MAX_WINDOW = 10_000
MAX_ROWS = 400

# Number of a window, route, group of endpoints.
Key = tuple[int, str, int]
# A row as it is sent: its key, the failures, and the answers by latency class
# in a flat list of classes and counts.
Row = list[typing.Any]


@dataclasses.dataclass(slots=True)
class Tally:
    """Answers in one window, on one route, of one group of endpoints.

    :param failures: failures of the endpoint.
    :param answered: number of the other answers.
    :param classes: these by latency class.
    """

    failures: int = 0
    answered: int = 0
    classes: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def answers(self) -> int:
        """Number of answers, with failures."""
        return self.failures + self.answered

    def count_beyond(self, first_class: int) -> int:
        """Return the answers of a latency class or a higher one."""
        return sum(
            [
                count
                for cls, count in self.classes.items()
                if cls >= first_class
            ]
        )

    def add(self, other: 'Tally', sign: int = 1) -> None:
        """Add the answers of another tally, or subtract them.

        :param other: the other one.
        :param sign: -1 to subtract what was added.
        """
        self.failures += sign * other.failures
        self.answered += sign * other.answered
        classes = self.classes
        for cls, count in other.classes.items():
            classes[cls] = classes.get(cls, 0) + sign * count


Tallies = typing.Mapping[Key, Tally]


class Evidence:
    """Tallies by window, route and group, and which of them were sent."""

    def __init__(self) -> None:
        self.tallies: dict[Key, Tally] = {}
        self._routes: set[str] = set()
        self._changed: dict[Key, None] = {}
        # Rows in the order in which they were sent last.
        self._sent: dict[Key, None] = {}

    def count(self, key: Key, is_failure: bool, latency_class: int) -> None:
        """Count an answer.

        :param key: where it counts.
        :param is_failure: whether it is a failure.
        :param latency_class: its latency, if it is none.
        """
        tally = self._get(key)
        if tally is None:
            return
        if is_failure:
            tally.failures += 1
        else:
            tally.answered += 1
            known = tally.classes.get(latency_class, 0)
            tally.classes[latency_class] = known + 1

    def replace(self, key: Key, before: Tally | None, tally: Tally) -> None:
        """Replace what was added of one source.

        :param key: where it counts.
        :param before: what the source told before, if anything.
        :param tally: what it tells now.
        """
        known = self._get(key)
        if known is None:
            return
        if before is not None:
            known.add(before, -1)
        known.add(tally)

    def repeat_all(self) -> None:
        """Send all rows again with the next messages."""
        self._changed |= dict.fromkeys(self.tallies)

    def take_rows(self) -> list[list[Row]]:
        """Return the rows to send now, in pieces that fit into packets.

        Rows with news come first, then some that were sent long ago.
        """
        repeated = [key for key in self._sent if key not in self._changed]
        keys = [*self._changed, *repeated[:MAX_REPEATED]]
        pieces: list[list[Row]] = [[]]
        piece_bytes = 0
        for key in keys:
            row = encode_row(key, self.tallies[key])
            row_bytes = len(cbor2.dumps(row))
            if piece_bytes and piece_bytes + row_bytes > MAX_ENTRY_BYTES:
                if len(pieces) == MAX_ENTRIES:
                    break
                pieces.append([])
                piece_bytes = 0
            pieces[-1].append(row)
            piece_bytes += row_bytes
            self._changed.pop(key, None)
            self._sent.pop(key, None)
            self._sent[key] = None
        return pieces

    def _get(self, key: Key) -> Tally | None:
        route = key[1]
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                return None
            self._routes.add(route)
        self._changed[key] = None
        return self.tallies.setdefault(key, Tally())


def compute_window_ms(duration_ms: float) -> float:
    """Return the length of the windows of a roll-out.

    :param duration_ms: time until its deadline.
    """
    return max(MIN_WINDOW_MS, duration_ms / WINDOWS)


def find_group(endpoint: types.EndpointId) -> int:
    """Return the group in which an endpoint of the new version counts.

    :param endpoint: its id.
    """
    return 1 + xxhash.xxh3_64_intdigest(endpoint.encode()) % GROUPS


def is_whole(route: str) -> bool:
    """Tell whether whole streams are counted under a name.

    :param route: the name.
    """
    return route.endswith(WHOLE_SUFFIX)


def find_class(took_ms: float) -> int:
    """Return the class of a latency.

    :param took_ms: the latency.
    """
    if took_ms <= 1:
        return 0
    return min(MAX_CLASS, int(math.log(took_ms, CLASS_FACTOR)) + 1)


def encode_row(key: Key, tally: Tally) -> Row:
    """Return a row as it is sent.

    :param key: where the tally counts.
    :param tally: the answers.
    """
    classes = [
        value
        for cls, count in sorted(tally.classes.items())
        if count
        for value in (cls, count)
    ]
    return [*key, tally.failures, classes]


def decode_row(row: Row) -> tuple[Key, Tally]:
    """Return the key and the tally of a checked row.

    :param row: the row.
    """
    window, route, group, failures, classes = row
    counts = dict(zip(classes[::2], classes[1::2], strict=True))
    tally = Tally(failures, sum(counts.values()), counts)
    return (window, route, group), tally


def is_row(value: typing.Any) -> bool:
    """Tell whether a value that was received is a row.

    :param value: the value.
    """
    if not isinstance(value, list) or len(value) != 5:
        return False
    window, route, group, failures, classes = value
    return (
        is_count(window, MAX_WINDOW)
        and is_name(route)
        and is_count(group, GROUPS)
        and is_count(failures)
        and isinstance(classes, list)
        and len(classes) % 2 == 0
        and all(is_count(cls, MAX_CLASS) for cls in classes[::2])
        and all(is_count(count) for count in classes[1::2])
        and len(set(classes[::2])) * 2 == len(classes)
    )


def is_count(value: typing.Any, most: int = MAX_COUNT) -> bool:
    """Tell whether a value that was received is a number up to a limit.

    :param value: the value.
    :param most: the largest number.
    """
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= most
    )


def is_name(value: typing.Any) -> bool:
    """Tell whether a value that was received is a name.

    :param value: the value.
    """
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARS
