"""How recently a node has confirmed that its configuration is the newest.

Only responses count, as of the time when their request was sent: a frame that
was buffered while the process was paused may be stale.
"""

import dataclasses

FRESH_MS = 2_500.0
RENEW_MS = 1_500.0
IDLE_AGE_MS = 10_000.0
PEER_QUORUM = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessOptions:
    """Limits of freshness.

    :param fresh_ms: how long a confirmation is valid.
    :param renew_ms: age of the confirmation above which new work triggers a
        renewal.
    :param idle_age_ms: age of the confirmation above which the node counts
        as idle or paused.
    :param peer_quorum: number of distinct peers whose confirmations together
        are equivalent to one of the store.
    """

    fresh_ms: float = FRESH_MS
    renew_ms: float = RENEW_MS
    idle_age_ms: float = IDLE_AGE_MS
    peer_quorum: int = PEER_QUORUM


class Freshness:
    """Confirmations of the newest number by the store and by peers.

    :param options: the limits.
    """

    def __init__(self, options: FreshnessOptions = FreshnessOptions()) -> None:
        self._options = options
        self._store_ms = float('-inf')
        self._peers_ms: dict[str, float] = {}

    def on_store_answer(self, asked_ms: float) -> None:
        """Record a response of the store.

        :param asked_ms: when the request was sent.
        """
        self._store_ms = max(self._store_ms, asked_ms)

    def on_peer_answer(self, peer: str, asked_ms: float) -> None:
        """Record a response of a peer.

        :param peer: the peer.
        :param asked_ms: when the request was sent.
        """
        known_ms = self._peers_ms.pop(peer, float('-inf'))
        self._peers_ms[peer] = max(known_ms, asked_ms)
        while len(self._peers_ms) > self._options.peer_quorum:
            del self._peers_ms[min(self._peers_ms, key=self._peers_ms.get)]

    def confirmed_ms(self, known_peers: int) -> float:
        """Return the time up to which the number is confirmed.

        :param known_peers: number of peers; if it is below the quorum, all
            of them have to confirm.
        """
        quorum = min(self._options.peer_quorum, known_peers)
        if quorum == 0 or len(self._peers_ms) < quorum:
            return self._store_ms
        newest = sorted(self._peers_ms.values())[-quorum:]
        return max(self._store_ms, newest[0])

    def list_confirming_peers(self, since_ms: float) -> set[str]:
        """Return the peers that answered a request sent since a time."""
        return {
            peer
            for peer, asked_ms in self._peers_ms.items()
            if asked_ms >= since_ms
        }
