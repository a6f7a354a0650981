"""How long other sidecars' claims have been seen without a result."""

import dataclasses

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class HoldLimits:
    """Bounds of what is remembered of other sidecars' claims.

    :param max_call_ms: a call has ended this long after its claim was
        seen; it is longer than any deadline.
    :param max_holds: claims remembered.
    """

    max_call_ms: float = 60 * types.SECOND_MS
    max_holds: int = 1_024


@dataclasses.dataclass(slots=True)
class _Hold:
    nonce: str
    first_seen_ms: float


class ClaimHolds:
    """Claims of other sidecars, by when each was first seen here.

    A sidecar that dies between claim and result leaves its claim behind.
    Only this process's clock is used: clocks of two machines differ.

    :param limits: bounds.
    """

    def __init__(self, limits: HoldLimits) -> None:
        self._limits = limits
        self._holds: dict[str, _Hold] = {}

    def is_overdue(self, path: str, nonce: str, now_ms: float) -> bool:
        """Tell whether a claim has been seen for longer than a call takes.

        :param path: key of the claim.
        :param nonce: its nonce; another one is another call.
        :param now_ms: current time in milliseconds.
        """
        hold = self._holds.get(path)
        if hold is None or hold.nonce != nonce:
            hold = _Hold(nonce, now_ms)
            # Forgetting the oldest only makes its callers wait for longer.
            if len(self._holds) >= self._limits.max_holds:
                del self._holds[next(iter(self._holds))]
            self._holds[path] = hold
        return now_ms - hold.first_seen_ms >= self._limits.max_call_ms
