"""Keeps a node at the newest configuration it can hear of.

`ConfigTracker` decides and a driver acts: the driver asks `next_action`,
carries the action out, and reports by one of the `on_` methods. After each
report, and when a `Wait` ends, it asks again.
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


class Admission(enum.Enum):
    """Whether a sidecar may admit new work under its configuration."""

    ADMIT = 'admit'
    VERIFY = 'verify'
    NOT_READY = 'not-ready'


class ConfigTracker:
    """Decides what one node asks, tells and admits.

    :param node: id of the node, as in other nodes' lists of peers.
    :param rng: source of jitter and of random peers.
    :param monitor: checks that the number never goes down.
    :param options: the bounds.
    """

    def __init__(
        self,
        node: str,
        rng: random.Random,
        monitor: invariants.Monitor,
        options: tracker_state.TrackerOptions = tracker_state.TrackerOptions(),
    ) -> None:
        self._state = tracker_state.TrackerState(node, rng, monitor, options)
        self._expected_ms = float('inf')

    @property
    def cfg(self) -> configuration.Configuration:
        """The configuration in force here."""
        return self._state.held.cfg

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force here; it rides on every frame."""
        return self._state.held.number

    @property
    def contacts(self) -> tuple[str, ...]:
        """Peers whose connections the driver should keep open."""
        return self._state.sources.contacts

    @property
    def is_behind(self) -> bool:
        """Whether somebody has shown a higher number."""
        return self._state.is_behind

    @property
    def is_verifying(self) -> bool:
        """Whether the driver should ask for actions on a confirmation."""
        return self._state.verification.is_in_progress

    # What the node may do.

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the number was confirmed recently and is not behind.

        :param now_ms: the current time.
        """
        return self._state.is_fresh(now_ms)

    def may_serve(self, now_ms: float) -> bool:
        """Tell whether the node may report itself ready.

        :param now_ms: the current time.
        """
        return self._state.may_serve(now_ms)

    def check_admission(self, now_ms: float) -> Admission:
        """Tell a sidecar whether it may admit work now.

        On `VERIFY` the sidecar holds the work and asks again after the next
        report; the tracker has begun to verify its number.

        :param now_ms: the current time.
        """
        if not self.may_serve(now_ms):
            return Admission.NOT_READY
        age_ms = now_ms - self._state.confirmed_ms(now_ms)
        if age_ms > self._state.options.fresh.renew_ms:
            is_routine = age_ms <= self._state.options.fresh.routine_ms
            self._state.verification.start(
                self._state.may_ask_store(is_routine), now_ms
            )
        if self.is_fresh(now_ms):
            return Admission.ADMIT
        return Admission.VERIFY

    # What the driver reports.

    def set_peers(
        self,
        peers: typing.Iterable[str],
        domain_nodes: typing.Collection[str] = (),
        listeners: typing.Iterable[str] = (),
    ) -> None:
        """Replace the peers.

        :param peers: nodes that can be asked: the other sidecars. Routers
            are left out, for those that send work may all be stale.
        :param listeners: routers with an open connection, told of a new
            number, and asked only where no peer can be.
        :param domain_nodes: nodes of this failure domain that may hold a
            watch; without this node in it, it never does.
        """
        told = tuple(listeners)
        self._state.sources.set_peers(peers, told)
        self._state.announcer.set_listeners(told)
        self._state.wants_watch = (
            self._state.node in domain_nodes
            and watchers.is_watcher(self._state.node, domain_nodes)
        )

    def hear(
        self, number: types.ConfigNumber, peer: str | None, now_ms: float
    ) -> bool:
        """Record the number on a frame.

        :param number: the number in force at the sender.
        :param peer: the sender, None if it cannot be asked.
        :param now_ms: the current time.
        :returns: whether the driver should ask for the next action.
        """
        if number <= self.number:
            return False
        if not self.is_behind:
            self._state.catch_up.restart(now_ms)
        self._state.catch_up.hear(number, peer, now_ms)
        return True

    def on_head(
        self,
        head: config_store.Head | None,
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Record the answer to `ReadHead`.

        :param head: the head, None if the store has none.
        :param asked_ms: when the read was sent.
        :param now_ms: the current time.
        """
        self._state.flights.end(config_actions.ReadHead())
        self._state.verification.on_store_answer()
        if now_ms - asked_ms > self._state.options.store_slow_ms:
            self._state.sources.on_store_bad(now_ms)
        else:
            self._state.sources.on_store_good()
        if head is None:
            return
        self._log_lower_head(head, asked_ms)
        self._state.head_asked_ms = max(asked_ms, self._state.head_asked_ms)
        self.on_watch(head, now_ms)

    def on_watch(self, head: config_store.Head, now_ms: float) -> None:
        """Record a change that the watch has shown.

        :param head: the head.
        :param now_ms: the current time.
        """
        if self._state.head is None or head.number > self._state.head.number:
            self._state.head = head
        self.hear(head.number, None, now_ms)
        self._state.confirm_by_head()

    def on_offer(
        self,
        peer: str | None,
        offer: config_exchange.Offer,
        asked_ms: float | None,
        now_ms: float,
    ) -> None:
        """Record an offer: an answer, or a peer's announcement.

        :param peer: the sender, None for the store.
        :param offer: the offer.
        :param asked_ms: when it was asked for, None if unasked.
        :param now_ms: the current time.
        """
        if self._state.held.take(offer, now_ms):
            self._state.catch_up.restart(now_ms)
        self._state.confirm_by_head()
        self.hear(offer.number, peer, now_ms)
        if self._state.is_behind:
            self._state.catch_up.retry_soon(now_ms)
        if peer is None:
            self._state.flights.end_kind(config_actions.FetchFromStore)
        elif asked_ms is not None:
            self._state.flights.end_peer(peer)
            self._state.sources.on_peer_good(peer)
            if offer.number <= self.number:
                self._state.fresh.on_peer_answer(peer, asked_ms)
            if offer.number < self.number:
                self._state.lagging[peer] = offer.number

    def on_accepted(
        self,
        cfg: configuration.Configuration,
        delta: config_delta.Delta,
        now_ms: float,
        urgent: typing.Iterable[str] = (),
    ) -> None:
        """Record a patch that this node itself got accepted.

        :param cfg: the configuration it made.
        :param delta: what it changed.
        :param now_ms: the current time.
        :param urgent: peers to tell in any case, such as the sidecars of a
            failure domain that was taken out.
        """
        if self._state.held.put_accepted(cfg, delta, now_ms):
            self._state.announcer.on_accepted(tuple(urgent))

    def on_chunk(self, index: int, raw: bytes) -> None:
        """Record the answer to `FetchChunk`.

        :param index: the chunk.
        :param raw: its bytes; a chunk that has changed meanwhile is
            fetched again.
        """
        for action in self._state.flights.find(config_actions.FetchChunk):
            if action.index == index:
                self._state.flights.end(action)
        if not self._state.held.put_chunk(index, raw):
            self._state.chunks.on_failure(index)

    def on_failure(self, action: config_actions.Action, now_ms: float) -> None:
        """Record that an action failed, or that a watch ended.

        :param action: the action as it was handed out.
        :param now_ms: the current time.
        """
        self._state.flights.end(action)
        if isinstance(action, config_actions.OpenWatch):
            self._state.is_watching = False
        if isinstance(action, config_actions.FetchFromStore):
            # The index may have been collected after newer patches.
            self._state.head = None
        if isinstance(action, config_actions.FetchChunk):
            self._state.chunks.on_failure(action.index)
        if isinstance(action, config_actions.FetchFromPeer):
            self._state.sources.on_peer_bad(action.peer, now_ms)
        if config_sources.is_store_action(action):
            self._state.sources.on_store_bad(now_ms)
        if isinstance(action, config_actions.ReadHead):
            # The poll that failed goes to a peer instead.
            self._state.poll.due_ms = now_ms
        if isinstance(action, _FETCHES):
            self._state.catch_up.retry_soon(now_ms)

    def want_account(self, account: types.AccountId) -> bool:
        """Tell whether an account can be looked up; have it loaded if not.

        :param account: the account.
        :returns: False if its chunk has to be loaded first.
        """
        if self.cfg.accounts.is_loaded(account):
            return True
        self._state.chunks.want(account_table.find_chunk(account))
        return False

    def make_offer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the answer to a peer that asks what follows its number.

        :param after: the peer's number.
        """
        return self._state.held.make_offer(after)

    # What the driver is to do.

    def next_action(self, now_ms: float) -> config_actions.Action:
        """Return the next thing to do; `Wait` if there is none now.

        :param now_ms: the current time.
        """
        self._end_overdue(now_ms)
        action = config_plans.plan_next(self._state, now_ms)
        self._expected_ms = now_ms
        if isinstance(action, config_actions.Wait):
            self._expected_ms = action.until_ms
        return action

    def _end_overdue(self, now_ms: float) -> None:
        late_ms = now_ms - self._expected_ms
        was_paused = late_ms > self._state.options.late_ms
        for action in self._state.flights.take_overdue(now_ms):
            if was_paused:
                self._state.flights.end(action)
            else:
                self.on_failure(action, now_ms)

    def _log_lower_head(
        self, head: config_store.Head, asked_ms: float
    ) -> None:
        is_late = asked_ms <= self._state.held.installed_ms
        if head.number >= self.number or is_late:
            return
        logger.error(
            'CONFIG store shows {}, below {} in force here. Number kept.',
            head.number,
            self.number,
        )
