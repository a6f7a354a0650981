"""One shared lease for all claims of a span of time.

A lease of its own would cost each claim a write more. Claims of one
sidecar share the lease of their span; nobody keeps it alive, so that it
ends, with its claims, a known time after the last of them.
"""

import dataclasses
import typing

from foxtailpick.core import errors
from foxtailpick.core import types

if typing.TYPE_CHECKING:
    from foxtailpick.adapters import base


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """How long claims are kept.

    :param retention_ms: a key is known at least this long after its call.
    :param span_ms: how long new claims use the same lease.
    :param max_claim_age_ms: longest time from asking for the lease to the
        start of the call.
    """

    retention_ms: float = 60 * types.MINUTE_MS
    span_ms: float = 5 * types.MINUTE_MS
    max_claim_age_ms: float = 30 * types.SECOND_MS

    @property
    def ttl_ms(self) -> float:
        """Lifetime of each lease.

        A lease is used for two spans at most, since all but one user go on
        with the old one while the next is being granted.
        """
        return self.retention_ms + 2 * self.span_ms + self.max_claim_age_ms


class LeaseBucket:
    """The current shared lease.

    :param kv: the platform's store.
    :param times: how long claims are kept.
    """

    def __init__(self, kv: 'base.KeyValue', times: LeaseTimes) -> None:
        self.times = times
        self._kv = kv
        self._lease: types.LeaseId | None = None
        self._asked_ms = 0.0
        self._is_granting = False

    async def acquire(self, now_ms: float) -> types.LeaseId:
        """Return a lease with at least the retention and a claim's age left.

        :param now_ms: current time in milliseconds.
        :raises errors.StoreError: if none is held and none was granted.
        """
        age_ms = now_ms - self._asked_ms
        is_usable = self._lease is not None and age_ms < 2 * self.times.span_ms
        is_fresh = is_usable and age_ms < self.times.span_ms
        if is_fresh or (is_usable and self._is_granting):
            return self._lease
        try:
            return await self._grant(now_ms)
        except errors.StoreError:
            if is_usable:
                return self._lease
            raise

    def discard(self, lease: types.LeaseId) -> None:
        """Stop using a lease that the store has ended."""
        if self._lease == lease:
            self._lease = None

    async def _grant(self, now_ms: float) -> types.LeaseId:
        self._is_granting = True
        try:
            lease = await self._kv.grant_lease(self.times.ttl_ms)
        finally:
            self._is_granting = False
        # The time is the one before the call: the lease ends later than it
        # is thought to, never earlier.
        self._lease = lease
        self._asked_ms = now_ms
        return lease
