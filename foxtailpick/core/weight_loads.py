"""Schedules loads from the weight store within its concurrency limit.

Each load reserves a time span in a shared schedule in the store, which is
changed by compare-and-swap. A sidecar that waits for its reservation sends
no further requests to the store. A reservation remains in place while its
holder is paused; a holder that misses its start makes a new reservation.
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

MAX_RESERVE_TRIES = 64
BACKOFF_BASE_MS = 20.0
BACKOFF_MAX_MS = 2_000.0
MIN_SLEEP_MS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Limits of the weight store.

    :param limit: maximum number of concurrent loads.
    :param load_ms: maximum duration of a load.
    :param guard_ms: gap after each load, to allow for clock skew.
    :param grace_ms: how late a load may start within its reservation.
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
    """A time span reserved for one load.

    :param endpoint: the endpoint that loads.
    :param nonce: identifies the reservation after a lost reply.
    :param start_ms: start, on the wall clock.
    :param end_ms: end, on the wall clock.
    :param is_scheduled: whether it is recorded in the schedule; otherwise it
        was chosen without the store, and the limit may be exceeded.
    """

    endpoint: types.EndpointId
    nonce: str
    start_ms: float
    end_ms: float
    is_scheduled: bool = True

    def may_start(self, now_ms: float, options: LoadOptions) -> bool:
        """Return whether the load may start now."""
        late_ms = now_ms - self.start_ms
        return 0 <= late_ms <= options.grace_ms


def find_start_ms(
    reservations: typing.Sequence[Reservation],
    now_ms: float,
    options: LoadOptions,
) -> float:
    """Return the earliest start of a reservation that keeps the limit.

    :param reservations: the schedule.
    :param now_ms: lower bound of the start.
    :param options: limits of the weight store.
    """
    ends_ms = {item.end_ms for item in reservations}
    candidates_ms = {now_ms, *(end for end in ends_ms if end > now_ms)}
    for start_ms in sorted(candidates_ms):
        peak = _count_max_concurrent(
            reservations, start_ms, start_ms + options.span_ms
        )
        if peak < options.limit:
            return start_ms
    raise ValueError(
        f'expected a limit above 0, got {options.limit}; set the number of '
        f'concurrent loads of the weight store'
    )


def _count_max_concurrent(
    reservations: typing.Sequence[Reservation],
    start_ms: float,
    end_ms: float,
) -> int:
    """Return the maximum number of concurrent reservations within a span.

    The number increases only at the start of a reservation.
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
    """The shared schedule of loads in the store.

    :param kv: the store.
    :param key: key of the schedule.
    :param options: limits of the weight store.
    :param clock: wall clock, comparable between nodes.
    :param rng: source of nonces and jitter.
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
        """Return the current time on the clock of the reservations."""
        return self._clock.now()

    async def reserve(
        self, endpoint: types.EndpointId, peers: int, delay_ms: float = 0.0
    ) -> Reservation:
        """Reserve a time span for one load.

        If the store is unavailable the start is chosen at random within the
        time that all peers need; the weight store may then reject the load,
        which is retried.

        :param endpoint: the endpoint that loads.
        :param peers: endpoints that may load at the same time, above zero.
        :param delay_ms: minimum time until the start.
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
            'Reserved' if reservation.is_scheduled else 'Chosen at random',
        )
        return reservation

    async def wait_for_start(self, reservation: Reservation) -> bool:
        """Wait until a reservation starts.

        :param reservation: the reservation.
        :returns: whether the load may start; false if its start is missed.
        """
        # A sleep may end slightly early on this clock.
        while (left_ms := reservation.start_ms - self.now()) > 0:
            await clock_lib.sleep_ms(max(left_ms, MIN_SLEEP_MS))
        return reservation.may_start(self.now(), self.options)

    async def _reserve_in_store(
        self, endpoint: types.EndpointId, nonce: str, delay_ms: float
    ) -> Reservation:
        entry = await self._kv.get(self._key)
        for attempt in range(MAX_RESERVE_TRIES):
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
            f'expected a reservation in {self._key}, got none in '
            f'{MAX_RESERVE_TRIES} tries',
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
