"""Spreads loads from the rate-limited weight store within its limit.

Each load reserves a span of time in one schedule in the store, changed by
compare-and-swap. A sidecar that waits for its span asks the store nothing
more. A reservation outlives a paused holder, and a holder that comes too
late for its span reserves another.
"""

import dataclasses
import random
import typing

import cbor2
from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import types

RESERVE_TRIES = 64
BACKOFF_BASE_MS = 20.0
BACKOFF_MAX_MS = 2_000.0
SHORTEST_SLEEP_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """What the weight store bears.

    :param limit: loads that it serves at once.
    :param load_ms: the longest time of a load.
    :param guard_ms: gap after each span, for clocks that differ.
    :param grace_ms: how late in its span a load may begin.
    """

    limit: int = 4
    load_ms: float = 60_000.0
    guard_ms: float = 1_000.0
    grace_ms: float = 500.0

    @property
    def span_ms(self) -> float:
        """Return the length of a reservation."""
        return self.load_ms + self.grace_ms + self.guard_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A span of time for one load.

    :param endpoint: who loads.
    :param nonce: tells its own after a lost reply.
    :param start_ms: when it begins, on the wall clock.
    :param end_ms: when it ends.
    :param is_shared: whether it stands in the schedule; else it was chosen
        without the store and may overlap with too many others.
    """

    endpoint: types.EndpointId
    nonce: str
    start_ms: float
    end_ms: float
    is_shared: bool = True

    def may_begin(self, now_ms: float, options: LoadOptions) -> bool:
        """Tell whether the load may begin now."""
        late_ms = now_ms - self.start_ms
        return 0 <= late_ms <= options.grace_ms


def find_start_ms(
    reservations: typing.Sequence[Reservation],
    now_ms: float,
    options: LoadOptions,
) -> float:
    """Return the earliest start at which the limit holds for a whole span.

    :param reservations: the schedule.
    :param now_ms: the current time.
    :param options: what the weight store bears.
    """
    ends_ms = {item.end_ms for item in reservations}
    candidates_ms = {now_ms, *(end for end in ends_ms if end > now_ms)}
    for start_ms in sorted(candidates_ms):
        peak = _count_peak(reservations, start_ms, start_ms + options.span_ms)
        if peak < options.limit:
            return start_ms
    raise ValueError(
        f'expected a limit above 0, got {options.limit}; set what the '
        f'weight store serves at once'
    )


def _count_peak(
    reservations: typing.Sequence[Reservation],
    start_ms: float,
    end_ms: float,
) -> int:
    """Return how many reservations overlap at once within a span.

    The number only grows where one begins.
    """
    points_ms = {start_ms}
    points_ms.update(
        item.start_ms
        for item in reservations
        if start_ms < item.start_ms < end_ms
    )
    return max(
        sum(item.start_ms <= point < item.end_ms for item in reservations)
        for point in points_ms
    )


class WeightSchedule:
    """The schedule in the store.

    :param kv: the store.
    :param key: where the schedule stands.
    :param options: what the weight store bears.
    :param clock: the wall clock, which nodes share.
    :param rng: spreads retries.
    """

    def __init__(
        self,
        kv: base.KeyValue,
        key: str,
        options: LoadOptions,
        clock: clock_lib.Clock | clock_lib.ManualClock,
        rng: random.Random,
    ) -> None:
        self.options = options
        self._kv = kv
        self._key = key
        self._clock = clock
        self._rng = rng

    def now(self) -> types.Millis:
        """Return the time that reservations are told in."""
        return self._clock.now()

    async def reserve(
        self, endpoint: types.EndpointId, peers: int, delay_ms: float = 0.0
    ) -> Reservation:
        """Return a span for one load.

        With the store down it is chosen at random over the time that all
        peers need; the weight store may then refuse, and the load is tried
        again.

        :param endpoint: who loads.
        :param peers: how many may want to load at once, above zero.
        :param delay_ms: how long from now it begins at the earliest.
        """
        nonce = f'{self._rng.getrandbits(64):016x}'
        try:
            reservation = await self._reserve_in_store(
                endpoint, nonce, delay_ms
            )
        except errors.StoreError as exc:
            logger.warning('LOAD {} without a schedule. {}', endpoint, exc)
            reservation = self._choose_at_random(
                endpoint, nonce, peers, delay_ms
            )
        logger.info(
            'LOAD {} begins in {:.0f} ms. {}.',
            endpoint,
            reservation.start_ms - self._clock.now(),
            'Reserved' if reservation.is_shared else 'Chosen at random',
        )
        return reservation

    async def wait_for_start(self, reservation: Reservation) -> bool:
        """Wait until a span begins.

        :param reservation: the span.
        :returns: whether the load may begin; not if the span is missed.
        """
        # A sleep may end a little early by this clock.
        while (left_ms := reservation.start_ms - self.now()) > 0:
            await clock_lib.sleep_ms(max(left_ms, SHORTEST_SLEEP_MS))
        return reservation.may_begin(self.now(), self.options)

    async def _reserve_in_store(
        self, endpoint: types.EndpointId, nonce: str, delay_ms: float
    ) -> Reservation:
        entry = await self._kv.get(self._key)
        for attempt in range(RESERVE_TRIES):
            schedule = _decode_schedule(entry)
            own = [item for item in schedule if item.nonce == nonce]
            if own:
                return own[0]
            newer = self._add_reservation(schedule, endpoint, nonce, delay_ms)
            revision = entry.revision if entry else base.ABSENT
            try:
                result = await self._kv.compare_and_swap(
                    self._key, revision, _encode_schedule(newer)
                )
            except errors.StoreError as exc:
                if exc.code is not errors.ErrorCode.STORE_OUTCOME_UNKNOWN:
                    raise
                entry = await self._kv.get(self._key)
                continue
            if result.is_applied:
                return newer[-1]
            await self._wait_before_retry(attempt)
            entry = await self._kv.get(self._key)
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'expected a place in {self._key}, got none in '
            f'{RESERVE_TRIES} tries',
        )

    def _add_reservation(
        self,
        schedule: list[Reservation],
        endpoint: types.EndpointId,
        nonce: str,
        delay_ms: float,
    ) -> list[Reservation]:
        now_ms = self._clock.now()
        live = [item for item in schedule if item.end_ms > now_ms]
        start_ms = find_start_ms(live, now_ms + delay_ms, self.options)
        end_ms = start_ms + self.options.span_ms
        return [*live, Reservation(endpoint, nonce, start_ms, end_ms)]

    def _choose_at_random(
        self,
        endpoint: types.EndpointId,
        nonce: str,
        peers: int,
        delay_ms: float,
    ) -> Reservation:
        window_ms = peers * self.options.span_ms / self.options.limit
        start_ms = self._clock.now() + delay_ms
        start_ms += self._rng.uniform(0.0, window_ms)
        end_ms = start_ms + self.options.span_ms
        return Reservation(endpoint, nonce, start_ms, end_ms, False)

    async def _wait_before_retry(self, attempt: int) -> None:
        limit_ms = min(BACKOFF_BASE_MS * 2.0**attempt, BACKOFF_MAX_MS)
        await clock_lib.sleep_ms(self._rng.uniform(0.0, limit_ms))


def _encode_schedule(schedule: typing.Iterable[Reservation]) -> bytes:
    return cbor2.dumps(
        [
            [item.endpoint, item.nonce, item.start_ms, item.end_ms]
            for item in schedule
        ]
    )


def _decode_schedule(entry: base.Entry | None) -> list[Reservation]:
    if entry is None:
        return []
    try:
        return [Reservation(*row) for row in cbor2.loads(entry.value)]
    except (cbor2.CBORDecodeError, TypeError) as exc:
        raise errors.StoreError(
            errors.ErrorCode.CONFIG_CORRUPT,
            f'expected a schedule of loads, got {entry.value[:40]!r}; '
            f'remove {entry.key}',
        ) from exc
