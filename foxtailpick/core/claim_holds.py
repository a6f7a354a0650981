"""Detection of claims that another sidecar left without a result."""

import dataclasses

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class HoldLimits:
    """Limits on the tracked claims of other sidecars.

    :param max_call_ms: time after a claim was first seen by which its call
        must have ended; longer than any request deadline.
    :param max_holds: claims tracked at once.
    """

    max_call_ms: float = 60 * types.SECOND_MS
    max_holds: int = 1_024


@dataclasses.dataclass(slots=True)
class _Hold:
    nonce: str
    first_seen_ms: float


class ClaimHolds:
    """Tracks when claims of other sidecars were first seen here.

    A sidecar that crashes between claim and result leaves its claim in the
    store. Ages are measured with the local clock only, because clocks of
    different hosts are not synchronised.

    :param limits: limits on the tracked claims.
    """

    def __init__(self, limits: HoldLimits) -> None:
        self._limits = limits
        self._holds: dict[str, _Hold] = {}

    def is_overdue(self, path: str, nonce: str, now_ms: float) -> bool:
        """Tell whether a claim has outlived the longest possible call.

        The first query of a claim starts its tracking.

        :param path: key of the claim.
        :param nonce: nonce of the claim; a new nonce is a new call.
        :param now_ms: the current time.
        """
        hold = self._holds.get(path)
        if hold is None or hold.nonce != nonce:
            hold = _Hold(nonce, now_ms)
            # Evicting the oldest claim is safe: it is only detected later.
            if len(self._holds) >= self._limits.max_holds:
                del self._holds[next(iter(self._holds))]
            self._holds[path] = hold
        return now_ms - hold.first_seen_ms >= self._limits.max_call_ms
