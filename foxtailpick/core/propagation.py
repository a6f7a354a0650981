"""Keeps a node at the newest configuration it can hear of.

`ConfigTracker` decides and a driver acts: the driver asks `next_action`,
carries the action out, and reports by one of the `on_` methods. After each
report, and when a `Wait` ends, it asks again.
"""

import dataclasses
import enum
import random
import typing

from loguru import logger

from foxtailpick.core import account_table
from foxtailpick.core import catch_up
from foxtailpick.core import chunk_loader
from foxtailpick.core import config_actions
from foxtailpick.core import config_announcer
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import config_sources
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import freshness
from foxtailpick.core import invariants
from foxtailpick.core import node_config
from foxtailpick.core import poll_schedule
from foxtailpick.core import types
from foxtailpick.core import verification
from foxtailpick.core import watchers

_FETCHES = (config_actions.FetchFromPeer, config_actions.FetchFromStore)


class Admission(enum.Enum):
    """Whether a sidecar may admit new work under its configuration."""

    ADMIT = 'admit'
    VERIFY = 'verify'
    NOT_READY = 'not-ready'


@dataclasses.dataclass(frozen=True, slots=True)
class TrackerOptions:
    """Bounds of a tracker.

    :param poll: bounds of polling.
    :param announce: bounds of announcements.
    :param fresh: bounds of freshness.
    :param store_checks_per_s: renewals of freshness by the whole fleet that
        go to the store; the rest goes to peers.
    :param hedge_ms: wait for a source before the next one is asked too.
    :param store_slow_ms: an answer of the store slower than this sends
        verifications to peers.
    :param behind_limit_ms: how long a number that nobody can supply keeps
        work out.
    :param pause_ms: time without a question from the driver after which
        the node was paused, and what it had asked says nothing.
    """

    poll: poll_schedule.PollOptions = poll_schedule.PollOptions()
    announce: config_announcer.AnnouncerOptions = (
        config_announcer.AnnouncerOptions()
    )
    fresh: freshness.FreshnessOptions = freshness.FreshnessOptions()
    store_checks_per_s: float = 200.0
    hedge_ms: float = 250.0
    store_slow_ms: float = 1_000.0
    behind_limit_ms: float = 30_000.0
    pause_ms: float = 12_000.0


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
        options: TrackerOptions = TrackerOptions(),
    ) -> None:
        self._node = node
        self._rng = rng
        self._options = options
        self._held = node_config.NodeConfig(node, monitor)
        self._sources = config_sources.Sources(rng)
        self._flights = config_sources.Flights()
        self._fresh = freshness.Freshness(options.fresh)
        self._announcer = config_announcer.Announcer(options.announce)
        self._catch_up = catch_up.CatchUp(options.hedge_ms)
        self._verification = verification.Verification(options.hedge_ms)
        self._poll = poll_schedule.PollSchedule(rng, options.poll)
        self._chunks = chunk_loader.ChunkLoader()
        self._head: config_store.Head | None = None
        self._head_asked_ms = float('-inf')
        self._has_been_confirmed = False
        self._given_up = types.ConfigNumber(0)
        self._lagging: dict[str, types.ConfigNumber] = {}
        self._wants_watch = False
        self._is_watching = False
        self._called_ms = float('-inf')

    @property
    def cfg(self) -> configuration.Configuration:
        """The configuration in force here."""
        return self._held.cfg

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force here; it rides on every frame."""
        return self._held.number

    @property
    def contacts(self) -> tuple[str, ...]:
        """Peers whose connections the driver should keep open."""
        return self._sources.contacts

    @property
    def is_behind(self) -> bool:
        """Whether somebody has shown a higher number."""
        return self._catch_up.heard > self.number

    # What the node may do.

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the number was confirmed recently and is not behind.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self._confirmed_ms(now_ms)
        is_confirmed = age_ms <= self._options.fresh.fresh_ms
        return is_confirmed and not self._is_held_back(now_ms)

    def may_serve(self, now_ms: float) -> bool:
        """Tell whether the node may report itself ready.

        It may from the moment it holds a configuration that the store, or
        as many peers as count as witnesses, have confirmed once.

        :param now_ms: the current time.
        """
        if not self._has_been_confirmed and self.number > 0:
            confirmed_ms = self._confirmed_ms(now_ms)
            self._has_been_confirmed = confirmed_ms > float('-inf')
        return self._has_been_confirmed

    def check_admission(self, now_ms: float) -> Admission:
        """Tell a sidecar whether it may admit work now.

        On `VERIFY` the sidecar holds the work and asks again after the next
        report; the tracker has begun to verify its number.

        :param now_ms: the current time.
        """
        if not self.may_serve(now_ms):
            return Admission.NOT_READY
        age_ms = now_ms - self._confirmed_ms(now_ms)
        if age_ms > self._options.fresh.renew_ms:
            is_routine = age_ms <= self._options.fresh.routine_ms
            self._verification.start(self._may_ask_store(is_routine), now_ms)
        if self.is_fresh(now_ms):
            return Admission.ADMIT
        return Admission.VERIFY

    def _may_ask_store(self, is_routine: bool) -> bool:
        """Tell whether a verification may use the store.

        A node that was paused always may. A busy one renews every few
        seconds, of which the store bears a fixed rate in all.
        """
        if not is_routine:
            return True
        renew_ms = self._options.fresh.renew_ms
        budget = self._options.store_checks_per_s
        part = poll_schedule.find_store_part(
            budget, self._sources.size, renew_ms
        )
        return self._rng.random() < part

    def _confirmed_ms(self, now_ms: float) -> float:
        known = self._sources.count_good_peers(now_ms)
        return self._fresh.confirmed_ms(known)

    def _is_held_back(self, now_ms: float) -> bool:
        """Tell whether a higher number may still be learned.

        A number that nobody could supply for long does not hold the node
        back for ever: its sender may have failed while the store was down.
        """
        if not self.is_behind:
            return False
        waited_ms = now_ms - self._catch_up.heard_ms
        if waited_ms < self._options.behind_limit_ms:
            return True
        if self._given_up < self._catch_up.heard:
            self._given_up = self._catch_up.heard
            logger.error(
                'CONFIG {} not supplied by anyone in {:.0f} ms. Serving on '
                'with {}.',
                self._given_up,
                waited_ms,
                self.number,
            )
        return False

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
            number though never asked.
        :param domain_nodes: nodes of this failure domain that may hold a
            watch; without this node in it, it never does.
        """
        self._sources.set_peers(peers)
        self._announcer.set_listeners(listeners)
        self._wants_watch = self._node in domain_nodes and watchers.is_watcher(
            self._node, domain_nodes
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
        self._catch_up.hear(number, peer, now_ms)
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
        self._flights.end(config_actions.ReadHead())
        self._verification.on_store_answer()
        if now_ms - asked_ms > self._options.store_slow_ms:
            self._sources.on_store_bad(now_ms)
        else:
            self._sources.on_store_good()
        if head is None:
            return
        self._log_lower_head(head, asked_ms)
        self._head_asked_ms = max(asked_ms, self._head_asked_ms)
        self.on_watch(head, now_ms)

    def on_watch(self, head: config_store.Head, now_ms: float) -> None:
        """Record a change that the watch has shown.

        :param head: the head.
        :param now_ms: the current time.
        """
        if self._head is None or head.number > self._head.number:
            self._head = head
        self.hear(head.number, None, now_ms)
        self._confirm_by_head()

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
        self._held.take(offer, now_ms)
        self._confirm_by_head()
        self.hear(offer.number, peer, now_ms)
        if self.is_behind:
            self._catch_up.retry_soon(now_ms)
        if peer is None:
            self._flights.end_kind(config_actions.FetchFromStore)
        elif asked_ms is not None:
            self._flights.end_peer(peer)
            self._sources.on_peer_good(peer)
            if offer.number <= self.number:
                self._fresh.on_peer_answer(peer, asked_ms)
            if offer.number < self.number:
                self._lagging[peer] = offer.number

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
        if self._held.put_accepted(cfg, delta, now_ms):
            self._announcer.on_accepted(tuple(urgent))

    def on_chunk(self, index: int, raw: bytes) -> None:
        """Record the answer to `FetchChunk`.

        :param index: the chunk.
        :param raw: its bytes; a chunk that has changed meanwhile is
            fetched again.
        """
        for action in self._flights.find(config_actions.FetchChunk):
            if action.index == index:
                self._flights.end(action)
        if not self._held.put_chunk(index, raw):
            self._chunks.on_failure(index)

    def on_failure(self, action: config_actions.Action, now_ms: float) -> None:
        """Record that an action failed, or that a watch ended.

        :param action: the action as it was handed out.
        :param now_ms: the current time.
        """
        self._flights.end(action)
        if isinstance(action, config_actions.OpenWatch):
            self._is_watching = False
        if isinstance(action, config_actions.FetchFromStore):
            # The index may have been collected after newer patches.
            self._head = None
        if isinstance(action, config_actions.FetchChunk):
            self._chunks.on_failure(action.index)
        if isinstance(action, config_actions.FetchFromPeer):
            self._sources.on_peer_bad(action.peer, now_ms)
        if config_sources.is_store_action(action):
            self._sources.on_store_bad(now_ms)
        if isinstance(action, config_actions.ReadHead):
            # The poll that failed goes to a peer instead.
            self._poll.due_ms = now_ms
        if isinstance(action, _FETCHES):
            self._catch_up.retry_soon(now_ms)

    def want_account(self, account: types.AccountId) -> bool:
        """Tell whether an account can be looked up; have it loaded if not.

        :param account: the account.
        :returns: False if its chunk has to be loaded first.
        """
        if self.cfg.accounts.is_loaded(account):
            return True
        self._chunks.want(account_table.find_chunk(account))
        return False

    def make_offer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the answer to a peer that asks what follows its number.

        :param after: the peer's number.
        """
        return self._held.make_offer(after)

    # What the driver is to do.

    def next_action(self, now_ms: float) -> config_actions.Action:
        """Return the next thing to do; `Wait` if there is none now.

        :param now_ms: the current time.
        """
        self._end_overdue(now_ms)
        for plan in (
            self._plan_announcement,
            self._plan_catch_up,
            self._plan_verification,
            self._plan_watch,
            self._plan_chunk,
            self._plan_poll,
        ):
            action = plan(now_ms)
            if action is not None:
                return action
        return config_actions.Wait(self._find_wake_ms(now_ms))

    def _end_overdue(self, now_ms: float) -> None:
        was_paused = now_ms - self._called_ms > self._options.pause_ms
        self._called_ms = now_ms
        for action in self._flights.take_overdue(now_ms):
            if was_paused:
                self._flights.end(action)
            else:
                self.on_failure(action, now_ms)

    def _start(
        self, action: config_actions.Action, now_ms: float
    ) -> config_actions.Action:
        self._flights.add(action, now_ms)
        return action

    def _plan_announcement(
        self, now_ms: float
    ) -> config_actions.Action | None:
        if self._lagging:
            peer, number = self._lagging.popitem()
            return config_actions.Announce((peer,), self.make_offer(number))
        peers = self._announcer.pick_peers(self.number, self._sources, now_ms)
        if not peers:
            return None
        offer = self.make_offer(types.ConfigNumber(self.number - 1))
        if offer.index is not None:
            # Peers that miss more than one delta ask for what they miss.
            offer = config_exchange.Offer(self.number)
        return config_actions.Announce(peers, offer)

    def _plan_catch_up(self, now_ms: float) -> config_actions.Action | None:
        if not self.is_behind or not self._catch_up.is_due(now_ms):
            return None
        is_store_turn = self._catch_up.start_try(now_ms)
        if is_store_turn or not self._catch_up.has_speaker:
            action = self._ask_store_for_deltas(now_ms)
            if action is not None:
                return action
        peer = self._catch_up.pick_peer(self._sources, now_ms)
        if peer is not None:
            return self._ask_peer(peer, now_ms)
        return self._ask_store_for_deltas(now_ms)

    def _ask_peer(self, peer: str, now_ms: float) -> config_actions.Action:
        after = self._held.wanted_after
        return self._start(config_actions.FetchFromPeer(peer, after), now_ms)

    def _ask_store_for_deltas(
        self, now_ms: float
    ) -> config_actions.Action | None:
        if not self._sources.is_store_usable(now_ms):
            return None
        if self._head is None or self._head.number <= self.number:
            return self._ask_head(now_ms)
        if self._flights.find(config_actions.FetchFromStore):
            return None
        action = config_actions.FetchFromStore(
            self._head, self._held.wanted_after
        )
        return self._start(action, now_ms)

    def _ask_head(self, now_ms: float) -> config_actions.Action | None:
        if self._flights.find(config_actions.ReadHead):
            return None
        return self._start(config_actions.ReadHead(), now_ms)

    def _plan_verification(
        self, now_ms: float
    ) -> config_actions.Action | None:
        if not self.may_serve(now_ms):
            self._verification.start(True, now_ms)
        self._verification.end_if_done(self._confirmed_ms(now_ms))
        is_needed = self._verification.is_under_way
        if not is_needed or self._is_held_back(now_ms):
            return None
        if self._verification.pick_store(self._sources, now_ms):
            action = self._ask_head(now_ms)
            if action is not None:
                return action
        peer = self._verification.pick_witness(
            self._fresh, self._sources, self._flights, now_ms
        )
        return self._ask_peer(peer, now_ms) if peer is not None else None

    def _plan_watch(self, now_ms: float) -> config_actions.Action | None:
        if self._wants_watch == self._is_watching:
            return None
        if not self._wants_watch:
            self._is_watching = False
            return config_actions.CloseWatch()
        if not self._sources.is_store_usable(now_ms):
            return None
        self._is_watching = True
        return config_actions.OpenWatch()

    def _plan_chunk(self, now_ms: float) -> config_actions.Action | None:
        if self._flights.find(config_actions.FetchChunk):
            return None
        action = self._chunks.plan(self.cfg.accounts, self._sources, now_ms)
        return self._start(action, now_ms) if action is not None else None

    def _plan_poll(self, now_ms: float) -> config_actions.Action | None:
        if not self._poll.start(now_ms):
            return None
        if self._is_store_polled(now_ms):
            action = self._ask_head(now_ms)
            if action is not None:
                return action
        asked = {
            action.peer
            for action in self._flights.find(config_actions.FetchFromPeer)
        }
        drawn = self._sources.pick_peers(1, now_ms, asked)
        return self._ask_peer(drawn[0], now_ms) if drawn else None

    def _is_store_polled(self, now_ms: float) -> bool:
        if not self._sources.is_store_usable(now_ms):
            return False
        return self._poll.is_store_turn(self._sources.size)

    def _find_wake_ms(self, now_ms: float) -> float:
        times = [
            self._poll.due_ms,
            self._flights.next_timeout_ms(),
            self._announcer.next_ms(self.number, now_ms),
            self._verification.next_ms(now_ms),
        ]
        if self.is_behind:
            times.append(self._catch_up.next_ms())
        return min(times)

    def _confirm_by_head(self) -> None:
        """Take the last read of the head as proof, once it is reached."""
        if self._head is not None and self._head.number <= self.number:
            self._fresh.on_store_answer(self._head_asked_ms)

    def _log_lower_head(
        self, head: config_store.Head, asked_ms: float
    ) -> None:
        is_late = asked_ms <= self._held.installed_ms
        if head.number >= self.number or is_late:
            return
        logger.error(
            'CONFIG store shows {}, below {} in force here. Number kept.',
            head.number,
            self.number,
        )
