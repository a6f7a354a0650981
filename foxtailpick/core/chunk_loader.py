"""On-demand loading of account chunks."""

from foxtailpick.core import account_table
from foxtailpick.core import config_actions
from foxtailpick.core import config_sources


class ChunkLoader:
    """Chunks requested by lookups; the one with fewest failures is next."""

    def __init__(self) -> None:
        self._failures: dict[int, int] = {}

    def request(self, index: int) -> None:
        """Request a chunk."""
        self._failures.setdefault(index, 0)

    def on_failure(self, index: int) -> None:
        """Record that a source did not supply a chunk."""
        if index in self._failures:
            self._failures[index] += 1

    def plan(
        self,
        table: account_table.AccountTable,
        sources: config_sources.Sources,
        now_ms: float,
    ) -> config_actions.FetchChunk | None:
        """Return the next chunk to load, None if there is none now.

        The store is queried first, since peers may not have the chunk.
        Each failure switches between the store and a peer.

        :param table: the accounts in force.
        :param sources: sources of chunks.
        :param now_ms: the current time.
        """
        for index in list(self._failures):
            if table.is_chunk_loaded(index):
                del self._failures[index]
        if not self._failures:
            return None
        index = min(self._failures, key=self._failures.get)
        peer = None
        is_store_usable = sources.is_store_usable(now_ms)
        if self._failures[index] % 2 or not is_store_usable:
            peer = next(iter(sources.pick_peers(1, now_ms)), None)
        if peer is None and not is_store_usable:
            return None
        digest = table.hashes[index]
        return config_actions.FetchChunk(index, digest, peer)
