"""How recently a node made sure that its configuration is the newest.

Only round trips count: a frame that lay in a buffer while this process was
paused says nothing about now, an answer to a question asked since does.
"""

import dataclasses

FRESH_MS = 2_500.0
RENEW_MS = 1_500.0
ROUTINE_MS = 10_000.0
WITNESSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessOptions:
    """Bounds of freshness.

    :param fresh_ms: how long a confirmation holds.
    :param renew_ms: age at which work makes a node confirm anew.
    :param routine_ms: age above which a node was idle or paused.
    :param witnesses: distinct peers that together stand in for the store.
    """

    fresh_ms: float = FRESH_MS
    renew_ms: float = RENEW_MS
    routine_ms: float = ROUTINE_MS
    witnesses: int = WITNESSES


class Freshness:
    """Confirmations of the newest number by the store and by peers.

    :param options: the bounds.
    """

    def __init__(self, options: FreshnessOptions = FreshnessOptions()) -> None:
        self._options = options
        self._store_ms = float('-inf')
        self._peers_ms: dict[str, float] = {}

    def on_store_answer(self, asked_ms: float) -> None:
        """Record an answer of the store.

        :param asked_ms: when it was asked.
        """
        self._store_ms = max(self._store_ms, asked_ms)

    def on_peer_answer(self, peer: str, asked_ms: float) -> None:
        """Record an answer of a peer.

        :param peer: the peer.
        :param asked_ms: when it was asked.
        """
        known_ms = self._peers_ms.pop(peer, float('-inf'))
        self._peers_ms[peer] = max(known_ms, asked_ms)
        while len(self._peers_ms) > self._options.witnesses:
            del self._peers_ms[min(self._peers_ms, key=self._peers_ms.get)]

    def confirmed_ms(self, known_peers: int) -> float:
        """Return the time up to which the number is confirmed.

        :param known_peers: how many peers there are; a fleet with fewer
            peers than witnesses asks all of them.
        """
        wanted = min(self._options.witnesses, known_peers)
        if wanted == 0 or len(self._peers_ms) < wanted:
            return self._store_ms
        newest = sorted(self._peers_ms.values())[-wanted:]
        return max(self._store_ms, newest[0])

    def list_peers(self, since_ms: float) -> set[str]:
        """Return the peers that answered a question asked since a time."""
        return {
            peer for peer, asked in self._peers_ms.items() if asked >= since_ms
        }
