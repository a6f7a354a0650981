"""Leases in the platform's store, with fencing numbers.

A holder may be paused past the end of its lease without noticing. It
therefore calls `Lease.require_valid` before each step, which compares its
own clock with a deadline computed from the start of the last renewal. It
also sends the fencing number with each step; numbers of later holders are
higher.
"""

import contextlib
import dataclasses
import typing
import uuid

from loguru import logger
import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

if typing.TYPE_CHECKING:
    from foxtailpick.adapters import base

RENEWALS_PER_TTL = 3
REVOKE_TIMEOUT_MS = 1_000.0
MAX_ACQUIRE_TRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseOptions:
    """Lease settings.

    :param ttl_ms: time after the last renewal at which the lease expires.
    :param guard_ms: how much earlier the holder stops relying on it,
        because the clocks of store and holder may drift apart.
    """

    ttl_ms: float = 10_000.0
    guard_ms: float = 1_000.0

    def __post_init__(self) -> None:
        """Check the range."""
        if not 0 <= self.guard_ms < self.ttl_ms / RENEWALS_PER_TTL:
            raise ValueError(
                f'expected a guard below a third of the TTL, got {self}; '
                f'shorten the guard or lengthen the TTL'
            )


class Lease:
    """The holder's view of a lease.

    :param key: key that the lease protects.
    :param fencing: its fencing number, higher than any earlier holder's.
    :param valid_until_ms: when the holder must stop relying on it.
    """

    def __init__(self, key: str, fencing: int, valid_until_ms: float) -> None:
        self.key = key
        self.fencing = fencing
        self.valid_until_ms = valid_until_ms

    def is_valid(self, now_ms: float) -> bool:
        """Return whether no other holder can have acquired it yet."""
        return now_ms < self.valid_until_ms

    def require_valid(self, now_ms: float) -> None:
        """Raise unless the holder may act.

        :param now_ms: the current time.
        :raises errors.StoreError: with code `LEASE_LOST`.
        """
        if self.is_valid(now_ms):
            return
        raise errors.StoreError(
            errors.ErrorCode.LEASE_LOST,
            f'expected a valid lease on {self.key}, but it may have '
            f'expired {now_ms - self.valid_until_ms:.0f} ms ago; acquire it '
            f'again',
        )


@contextlib.asynccontextmanager
async def hold_lease(
    kv: 'base.KeyValue',
    key: str,
    holder: str,
    clock: clock_lib.Clock | clock_lib.ManualClock,
    options: LeaseOptions | None = None,
) -> typing.AsyncIterator[Lease]:
    """Hold a lease on a key while the context is open.

    :param kv: the store.
    :param key: the key to protect.
    :param holder: name of the holder, shown to rejected competitors.
    :param clock: the holder's clock; it must keep running while the holder
        is paused.
    :param options: lease settings.
    :raises errors.StoreError: with code `STORE_REFUSED` if another holder
        has it, or as the store's calls raise.
    """
    options = options or LeaseOptions()
    requested_ms = clock.now()
    lease_id = await kv.grant_lease(options.ttl_ms)
    try:
        fencing = await _create_key(kv, key, holder, lease_id)
        lease = Lease(
            key, fencing, _compute_deadline_ms(requested_ms, options)
        )
        logger.info('LEASE {} held by {}. Fencing {}.', key, holder, fencing)
        async with _keep_renewed(kv, lease_id, lease, clock, options):
            yield lease
    finally:
        await _revoke(kv, lease_id)


async def _create_key(
    kv: 'base.KeyValue', key: str, holder: str, lease_id: types.LeaseId
) -> int:
    """Create the key; its revision is the fencing number.

    After a lost reply a nonce in the value identifies the own key.
    """
    value = f'{holder} {uuid.uuid4().hex}'.encode()
    for _ in range(MAX_ACQUIRE_TRIES):
        try:
            result = await kv.put_if_absent(key, value, lease_id)
        except errors.StoreError as exc:
            if exc.verdict is verdict_lib.Verdict.NOT_RUN:
                raise
            continue
        if result.is_applied:
            return result.revision
        found = result.current[0]
        if found.value == value:
            return found.revision
        raise errors.StoreError(
            errors.ErrorCode.STORE_REFUSED,
            f'expected no holder of {key}, got '
            f'{found.value.decode(errors="replace")}; retry later',
        )
    raise errors.StoreError(
        errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
        f'expected a reply to the creation of {key}, got none in '
        f'{MAX_ACQUIRE_TRIES} tries; the key expires with its lease',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


@contextlib.asynccontextmanager
async def _keep_renewed(
    kv: 'base.KeyValue',
    lease_id: types.LeaseId,
    lease: Lease,
    clock: clock_lib.Clock | clock_lib.ManualClock,
    options: LeaseOptions,
) -> typing.AsyncIterator[None]:
    # An error of the body is re-raised outside the nursery, so that the
    # caller does not get it wrapped in an exception group.
    failure = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_renew, kv, lease_id, lease, clock, options)
        try:
            yield
        except Exception as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def _renew(
    kv: 'base.KeyValue',
    lease_id: types.LeaseId,
    lease: Lease,
    clock: clock_lib.Clock | clock_lib.ManualClock,
    options: LeaseOptions,
) -> None:
    while True:
        await clock_lib.sleep_ms(options.ttl_ms / RENEWALS_PER_TTL)
        requested_ms = clock.now()
        try:
            await kv.renew_lease(lease_id)
        except errors.StoreError as exc:
            logger.warning('LEASE {} not renewed. {}', lease.key, exc)
            if exc.code is errors.ErrorCode.LEASE_LOST:
                lease.valid_until_ms = float('-inf')
                return
            continue
        lease.valid_until_ms = _compute_deadline_ms(requested_ms, options)


async def _revoke(kv: 'base.KeyValue', lease_id: types.LeaseId) -> None:
    with trio.move_on_after(REVOKE_TIMEOUT_MS / types.SECOND_MS) as scope:
        scope.shield = True
        try:
            await kv.revoke_lease(lease_id)
        except errors.StoreError as exc:
            logger.info('LEASE not revoked. {}; it expires by itself.', exc)


def _compute_deadline_ms(requested_ms: float, options: LeaseOptions) -> float:
    return requested_ms + options.ttl_ms - options.guard_ms
