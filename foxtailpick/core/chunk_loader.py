"""Which account chunks a node still has to load."""

from foxtailpick.core import account_table
from foxtailpick.core import config_actions
from foxtailpick.core import config_sources


class ChunkLoader:
    """Chunks asked for by lookups, loaded one after another."""

    def __init__(self) -> None:
        self._failures: dict[int, int] = {}

    def want(self, index: int) -> None:
        """Ask for a chunk."""
        self._failures.setdefault(index, 0)

    def on_failure(self, index: int) -> None:
        """Record that a source did not give a chunk."""
        if index in self._failures:
            self._failures[index] += 1

    def plan(
        self,
        table: account_table.AccountTable,
        sources: config_sources.Sources,
        now_ms: float,
    ) -> config_actions.FetchChunk | None:
        """Return the next load, None if there is none to make now.

        The store goes first, since peers may not hold the chunk either.

        :param table: the accounts in force.
        :param sources: whom to ask.
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
