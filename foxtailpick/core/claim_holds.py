"""Detection of claims that another sidecar left without a result."""

import dataclasses

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaimLimits:
    """Limits on the tracked claims of other sidecars.

    :param max_call_ms: time after a claim was first seen by which its call
        must have ended; longer than any request deadline.
    :param max_claims: claims tracked at once.
    """

    max_call_ms: float = 60 * types.SECOND_MS
    max_claims: int = 1_024


@dataclasses.dataclass(slots=True)
class _HeldClaim:
    nonce: str
    first_seen_ms: float


class HeldClaims:
    """Tracks when claims of other sidecars were first seen here.

    A sidecar that crashes between claim and result leaves its claim in the
    store. Ages are measured with the local clock only, because clocks of
    different hosts are not synchronised.

    :param limits: limits on the tracked claims.
    """

    def __init__(self, limits: HeldClaimLimits) -> None:
        self._limits = limits
        self._claims: dict[str, _HeldClaim] = {}

    def is_abandoned(self, path: str, nonce: str, now_ms: float) -> bool:
        """Return whether a claim has outlived the longest possible call.

        The first query of a claim starts its tracking.

        :param path: key of the claim.
        :param nonce: nonce of the claim; a new nonce is a new call.
        :param now_ms: the current time.
        """
        held = self._claims.get(path)
        if held is None or held.nonce != nonce:
            held = _HeldClaim(nonce, now_ms)
            # Evicting the oldest claim is safe: it is only detected later.
            if len(self._claims) >= self._limits.max_claims:
                del self._claims[next(iter(self._claims))]
            self._claims[path] = held
        return now_ms - held.first_seen_ms >= self._limits.max_call_ms
