"""Keeps a node on the newest configuration that any source offers.

`ConfigTracker` decides and performs no I/O. Its driver calls `next_action`,
executes the action, and reports the result through an `on_` method. It calls
`next_action` again after each report and when a `Wait` ends.
"""

import enum
import random
import typing

from loguru import logger

from foxtailpick.core import account_table
from foxtailpick.core import config_actions
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import config_plans
from foxtailpick.core import config_sources
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import tracker_state
from foxtailpick.core import types
from foxtailpick.core import watchers

_FETCHES = (config_actions.FetchFromPeer, config_actions.FetchFromStore)


class AdmissionCheck(enum.Enum):
    """Whether a sidecar may admit new work with its configuration."""

    ADMIT = 'admit'
    VERIFY = 'verify'
    NOT_READY = 'not-ready'


class ConfigTracker:
    """Decides what one node fetches, announces and admits.

    :param node: id of the node, as in other nodes' lists of peers.
    :param rng: source of jitter and of random peers.
    :param monitor: checks that the number never decreases.
    :param options: the limits.
    """

    def __init__(
        self,
        node: str,
        rng: random.Random,
        monitor: invariants.Monitor,
        options: tracker_state.TrackerOptions = tracker_state.TrackerOptions(),
    ) -> None:
        self._state = tracker_state.TrackerState(node, rng, monitor, options)
        self._next_call_ms = float('inf')

    @property
    def cfg(self) -> configuration.Configuration:
        """The configuration in force on this node."""
        return self._state.node_config.cfg

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force on this node; each frame sent carries it."""
        return self._state.node_config.number

    @property
    def contacts(self) -> tuple[str, ...]:
        """Peers to which the driver should keep connections open."""
        return self._state.sources.contacts

    @property
    def is_behind(self) -> bool:
        """Whether a higher number has been seen."""
        return self._state.is_behind

    @property
    def is_verifying(self) -> bool:
        """Whether a verification is in progress.

        The driver should then call `next_action` soon.
        """
        return self._state.verification.is_in_progress

    # Queries.

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the number was confirmed recently and is not outdated.

        :param now_ms: the current time.
        """
        return self._state.is_fresh(now_ms)

    def may_serve(self, now_ms: float) -> bool:
        """Tell whether the node may report itself ready.

        :param now_ms: the current time.
        """
        return self._state.may_serve(now_ms)

    def check_admission(self, now_ms: float) -> AdmissionCheck:
        """Tell a sidecar whether it may admit work now.

        On `VERIFY` the sidecar queues the work and asks again after the next
        report; the tracker has started to verify its number.

        :param now_ms: the current time.
        """
        if not self.may_serve(now_ms):
            return AdmissionCheck.NOT_READY
        age_ms = now_ms - self._state.confirmed_ms(now_ms)
        if age_ms > self._state.options.fresh.renew_ms:
            is_renewal = age_ms <= self._state.options.fresh.idle_age_ms
            self._state.verification.start(
                self._state.may_query_store(is_renewal), now_ms
            )
        if self.is_fresh(now_ms):
            return AdmissionCheck.ADMIT
        return AdmissionCheck.VERIFY

    # Reports of the driver.

    def set_peers(
        self,
        peers: typing.Iterable[str],
        domain_nodes: typing.Collection[str] = (),
        routers: typing.Iterable[str] = (),
    ) -> None:
        """Replace the peers.

        :param peers: nodes to query: the other sidecars. Routers are
            excluded, because all that send work to this node may be stale.
        :param domain_nodes: nodes of this failure domain that may watch the
            store; a node that is not among them never does.
        :param routers: routers with an open connection. They are notified
            of new numbers, and queried only when no peer is available.
        """
        connected = tuple(routers)
        self._state.sources.set_peers(peers, connected)
        self._state.announcer.set_routers(connected)
        self._state.wants_watch = (
            self._state.node in domain_nodes
            and watchers.is_watcher(self._state.node, domain_nodes)
        )

    def observe_number(
        self, number: types.ConfigNumber, peer: str | None, now_ms: float
    ) -> bool:
        """Record the number carried by a frame.

        :param number: the number in force at the sender.
        :param peer: the sender, None if it cannot be queried.
        :param now_ms: the current time.
        :returns: whether the driver should ask for the next action.
        """
        if number <= self.number:
            return False
        if not self.is_behind:
            self._state.catch_up.restart(now_ms)
        self._state.catch_up.observe_number(number, peer, now_ms)
        return True

    def on_head(
        self,
        head: config_store.Head | None,
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Record the result of `ReadHead`.

        :param head: the head, None if the store has none.
        :param asked_ms: when the read was sent.
        :param now_ms: the current time.
        """
        self._state.in_flight.end(config_actions.ReadHead())
        self._state.verification.on_store_answer()
        if now_ms - asked_ms > self._state.options.store_slow_ms:
            self._state.sources.on_store_failure(now_ms)
        else:
            self._state.sources.on_store_success()
        if head is None:
            return
        self._log_lower_head(head, asked_ms)
        self._state.head_asked_ms = max(asked_ms, self._state.head_asked_ms)
        self.on_watch(head, now_ms)

    def on_watch(self, head: config_store.Head, now_ms: float) -> None:
        """Record a change reported by the watch.

        :param head: the head.
        :param now_ms: the current time.
        """
        if self._state.head is None or head.number > self._state.head.number:
            self._state.head = head
        self.observe_number(head.number, None, now_ms)
        self._state.confirm_from_head()

    def on_offer(
        self,
        peer: str | None,
        offer: config_exchange.Offer,
        asked_ms: float | None,
        now_ms: float,
    ) -> None:
        """Record an offer: a response, or the announcement of a peer.

        :param peer: the sender, None for the store.
        :param offer: the offer.
        :param asked_ms: when the request was sent, None if unsolicited.
        :param now_ms: the current time.
        """
        if self._state.node_config.apply_offer(offer, now_ms):
            self._state.catch_up.restart(now_ms)
        self._state.confirm_from_head()
        self.observe_number(offer.number, peer, now_ms)
        if self._state.is_behind:
            self._state.catch_up.retry_soon(now_ms)
        if peer is None:
            self._state.in_flight.end_kind(config_actions.FetchFromStore)
        elif asked_ms is not None:
            self._state.in_flight.end_peer(peer)
            self._state.sources.on_peer_success(peer)
            if offer.number <= self.number:
                self._state.fresh.on_peer_answer(peer, asked_ms)
            if offer.number < self.number:
                self._state.lagging_peers[peer] = offer.number

    def on_accepted(
        self,
        cfg: configuration.Configuration,
        delta: config_delta.Delta,
        now_ms: float,
        urgent: typing.Iterable[str] = (),
    ) -> None:
        """Record a patch that this node has committed.

        :param cfg: the resulting configuration.
        :param delta: what the patch changed.
        :param now_ms: the current time.
        :param urgent: peers to notify in any case, such as the sidecars of
            a failure domain that was taken out of service.
        """
        if self._state.node_config.apply_accepted(cfg, delta, now_ms):
            self._state.announcer.on_accepted(tuple(urgent))

    def on_chunk(self, index: int, raw: bytes) -> None:
        """Record the result of `FetchChunk`.

        :param index: index of the chunk.
        :param raw: its encoded content; a chunk that has changed in the
            meantime is fetched again.
        """
        for action in self._state.in_flight.find(config_actions.FetchChunk):
            if action.index == index:
                self._state.in_flight.end(action)
        if not self._state.node_config.add_chunk(index, raw):
            self._state.chunks.on_failure(index)

    def on_failure(self, action: config_actions.Action, now_ms: float) -> None:
        """Record that an action failed, or that the watch ended.

        :param action: the action as `next_action` returned it.
        :param now_ms: the current time.
        """
        self._state.in_flight.end(action)
        if isinstance(action, config_actions.OpenWatch):
            self._state.is_watching = False
        if isinstance(action, config_actions.FetchFromStore):
            # Newer patches may have led to the deletion of the index.
            self._state.head = None
        if isinstance(action, config_actions.FetchChunk):
            self._state.chunks.on_failure(action.index)
        if isinstance(action, config_actions.FetchFromPeer):
            self._state.sources.on_peer_failure(action.peer, now_ms)
        if config_sources.is_store_action(action):
            self._state.sources.on_store_failure(now_ms)
        if isinstance(action, config_actions.ReadHead):
            # Poll a peer instead, at once.
            self._state.poll.due_ms = now_ms
        if isinstance(action, _FETCHES):
            self._state.catch_up.retry_soon(now_ms)

    def request_account(self, account: types.AccountId) -> bool:
        """Tell whether an account can be looked up; request it if not.

        :param account: the account.
        :returns: False if its chunk must be loaded first.
        """
        if self.cfg.accounts.is_loaded(account):
            return True
        self._state.chunks.request(account_table.find_chunk_index(account))
        return False

    def make_offer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the offer that brings a peer up to date.

        :param after: the number in force at the peer.
        """
        return self._state.node_config.make_offer(after)

    # Actions for the driver.

    def next_action(self, now_ms: float) -> config_actions.Action:
        """Return the next action; `Wait` if none is due.

        :param now_ms: the current time.
        """
        self._expire_actions(now_ms)
        action = config_plans.plan_next(self._state, now_ms)
        self._next_call_ms = now_ms
        if isinstance(action, config_actions.Wait):
            self._next_call_ms = action.until_ms
        return action

    def _expire_actions(self, now_ms: float) -> None:
        late_ms = now_ms - self._next_call_ms
        was_paused = late_ms > self._state.options.pause_threshold_ms
        for action in self._state.in_flight.pop_timed_out(now_ms):
            if was_paused:
                self._state.in_flight.end(action)
            else:
                self.on_failure(action, now_ms)

    def _log_lower_head(
        self, head: config_store.Head, asked_ms: float
    ) -> None:
        is_old_read = asked_ms <= self._state.node_config.installed_ms
        if head.number >= self.number or is_old_read:
            return
        logger.error(
            'CONFIG store shows {}, below {} in force here. '
            'Number in force kept.',
            head.number,
            self.number,
        )
