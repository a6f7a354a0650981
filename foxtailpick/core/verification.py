"""Makes sure of the number when work waits for it."""

from foxtailpick.core import config_actions
from foxtailpick.core import config_sources
from foxtailpick.core import freshness


class Verification:
    """One verification at a time: the store first, then witnesses.

    :param hedge_ms: wait for the store before peers are asked too.
    """

    def __init__(self, hedge_ms: float) -> None:
        self._hedge_ms = hedge_ms
        self._since_ms: float | None = None
        self._may_ask_store = True
        self._has_asked_store = False

    def start(self, may_ask_store: bool, now_ms: float) -> None:
        """Begin, unless one is under way.

        :param may_ask_store: whether the store is asked, before peers.
        :param now_ms: the current time.
        """
        if self._since_ms is None:
            self._since_ms = now_ms
            self._may_ask_store = may_ask_store
            self._has_asked_store = False

    def end_if_done(self, confirmed_ms: float) -> None:
        """End once the number is confirmed as of the beginning or later.

        :param confirmed_ms: time up to which it is confirmed.
        """
        if self._since_ms is not None and confirmed_ms >= self._since_ms:
            self._since_ms = None

    def on_store_answer(self) -> None:
        """Allow another question to the store, should this one be late."""
        self._has_asked_store = False

    @property
    def is_under_way(self) -> bool:
        """Tell whether work waits."""
        return self._since_ms is not None

    def pick_store(
        self, sources: config_sources.Sources, now_ms: float
    ) -> bool:
        """Tell whether to ask the store now."""
        if self._has_asked_store or not self._is_store_wanted(sources, now_ms):
            return False
        self._has_asked_store = True
        return True

    def pick_witness(
        self,
        fresh: freshness.Freshness,
        sources: config_sources.Sources,
        flights: config_sources.ActionsInFlight,
        now_ms: float,
    ) -> str | None:
        """Return the next peer to ask, None if enough are asked.

        :param fresh: which peers have answered.
        :param sources: the peers.
        :param flights: which peers are being asked.
        :param now_ms: the current time.
        """
        is_store_awaited = now_ms - self._since_ms < self._hedge_ms
        if is_store_awaited and self._is_store_wanted(sources, now_ms):
            return None
        asked = {
            action.peer
            for action in flights.find(config_actions.FetchFromPeer)
        }
        engaged = asked | fresh.list_confirming_peers(self._since_ms)
        if len(engaged) >= freshness.PEER_QUORUM:
            return None
        return next(iter(sources.pick_peers(1, now_ms, engaged)), None)

    def next_ms(self, now_ms: float) -> float:
        """Return when to look again."""
        return now_ms + self._hedge_ms if self.is_under_way else float('inf')

    def _is_store_wanted(
        self, sources: config_sources.Sources, now_ms: float
    ) -> bool:
        return self._may_ask_store and sources.is_store_usable(now_ms)
