"""Store leases that are shared by the claims of a time span.

A separate lease per claim would cost one more write each. Claims of one
sidecar share the lease of their time span. The lease is never renewed, so
it expires with its claims a known time after the last of them.
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

    :param retention_ms: minimum time for which a key is kept after its call.
    :param span_ms: how long new claims use the same lease.
    :param max_claim_age_ms: longest time from the lease request to the
        start of the call.
    """

    retention_ms: float = 60 * types.MINUTE_MS
    span_ms: float = 5 * types.MINUTE_MS
    max_claim_age_ms: float = 30 * types.SECOND_MS

    @property
    def ttl_ms(self) -> float:
        """TTL of each lease.

        A lease is used for two spans at most: while one caller requests the
        next lease, the others continue with the current one.
        """
        return self.retention_ms + 2 * self.span_ms + self.max_claim_age_ms


class SharedLease:
    """The current shared lease.

    :param kv: the platform's store.
    :param times: how long claims are kept.
    """

    def __init__(self, kv: 'base.KeyValue', times: LeaseTimes) -> None:
        self.times = times
        self._kv = kv
        self._lease: types.LeaseId | None = None
        self._requested_ms = 0.0
        self._is_requesting = False

    async def acquire(self, now_ms: float) -> types.LeaseId:
        """Return a lease that outlasts a claim's maximum age and retention.

        :param now_ms: the current time.
        :raises errors.StoreError: if no usable lease is held and the store
            did not grant one.
        """
        age_ms = now_ms - self._requested_ms
        is_usable = self._lease is not None and age_ms < 2 * self.times.span_ms
        is_fresh = is_usable and age_ms < self.times.span_ms
        if is_fresh or (is_usable and self._is_requesting):
            return self._lease
        try:
            return await self._grant(now_ms)
        except errors.StoreError:
            if is_usable:
                return self._lease
            raise

    def discard(self, lease: types.LeaseId) -> None:
        """Stop using a lease that has expired in the store."""
        if self._lease == lease:
            self._lease = None

    async def _grant(self, now_ms: float) -> types.LeaseId:
        self._is_requesting = True
        try:
            lease = await self._kv.grant_lease(self.times.ttl_ms)
        finally:
            self._is_requesting = False
        # The time before the request is used, so that the lease never
        # expires earlier than computed here.
        self._lease = lease
        self._requested_ms = now_ms
        return lease
