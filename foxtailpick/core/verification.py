"""Verification of the configuration number that blocked work waits for."""

from foxtailpick.core import config_actions
from foxtailpick.core import config_sources
from foxtailpick.core import freshness


class Verification:
    """One verification at a time: queries the store first, then peers.

    :param hedge_ms: delay after which peers are queried besides the store.
    """

    def __init__(self, hedge_ms: float) -> None:
        self._hedge_ms = hedge_ms
        self._started_ms: float | None = None
        self._may_query_store = True
        self._has_queried_store = False

    def start(self, may_query_store: bool, now_ms: float) -> None:
        """Start a verification, unless one is in progress.

        :param may_query_store: whether to query the store before peers.
        :param now_ms: the current time.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
            self._may_query_store = may_query_store
            self._has_queried_store = False

    def end_if_done(self, confirmed_ms: float) -> None:
        """End the verification if the number is confirmed since its start.

        :param confirmed_ms: time as of which the number is confirmed.
        """
        if self._started_ms is not None and confirmed_ms >= self._started_ms:
            self._started_ms = None

    def on_store_answer(self) -> None:
        """Allow another store query, in case this answer is outdated."""
        self._has_queried_store = False

    @property
    def is_in_progress(self) -> bool:
        """Tell whether a verification is in progress."""
        return self._started_ms is not None

    def begin_store_query(
        self, sources: config_sources.Sources, now_ms: float
    ) -> bool:
        """Tell whether to query the store now; records the query if so."""
        if self._has_queried_store or not self._is_store_wanted(
            sources, now_ms
        ):
            return False
        self._has_queried_store = True
        return True

    def pick_peer(
        self,
        fresh: freshness.Freshness,
        sources: config_sources.Sources,
        in_flight: config_sources.ActionsInFlight,
        now_ms: float,
    ) -> str | None:
        """Return the next peer to query, None if enough are involved.

        :param fresh: peers that have answered.
        :param sources: known peers.
        :param in_flight: queries in flight.
        :param now_ms: the current time.
        """
        is_store_awaited = now_ms - self._started_ms < self._hedge_ms
        if is_store_awaited and self._is_store_wanted(sources, now_ms):
            return None
        queried = {
            action.peer
            for action in in_flight.find(config_actions.FetchFromPeer)
        }
        involved = queried | fresh.list_confirming_peers(self._started_ms)
        if len(involved) >= freshness.PEER_QUORUM:
            return None
        return next(iter(sources.pick_peers(1, now_ms, involved)), None)

    def next_ms(self, now_ms: float) -> float:
        """Return when to check again, infinity if nothing is in progress."""
        return now_ms + self._hedge_ms if self.is_in_progress else float('inf')

    def _is_store_wanted(
        self, sources: config_sources.Sources, now_ms: float
    ) -> bool:
        return self._may_query_store and sources.is_store_usable(now_ms)
