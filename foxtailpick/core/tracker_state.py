"""What a configuration tracker knows, and what follows from it."""

import dataclasses
import random

from loguru import logger

from foxtailpick.core import catch_up
from foxtailpick.core import chunk_loader
from foxtailpick.core import config_announcer
from foxtailpick.core import config_sources
from foxtailpick.core import config_store
from foxtailpick.core import freshness
from foxtailpick.core import invariants
from foxtailpick.core import node_config
from foxtailpick.core import poll_schedule
from foxtailpick.core import types
from foxtailpick.core import verification


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
    :param late_ms: how much later than asked the driver may come back;
        beyond it the node was paused, and a question without an answer
        says nothing of whom it was put to.
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
    late_ms: float = 500.0


class TrackerState:
    """The parts of a tracker.

    :param node: id of the node.
    :param rng: source of jitter and of random peers.
    :param monitor: checks that the number never goes down.
    :param options: the bounds.
    """

    def __init__(
        self,
        node: str,
        rng: random.Random,
        monitor: invariants.Monitor,
        options: TrackerOptions,
    ) -> None:
        self.node = node
        self.rng = rng
        self.options = options
        self.held = node_config.NodeConfig(node, monitor)
        self.sources = config_sources.Sources(rng)
        self.flights = config_sources.Flights()
        self.fresh = freshness.Freshness(options.fresh)
        self.announcer = config_announcer.Announcer(options.announce)
        self.catch_up = catch_up.CatchUp(options.hedge_ms)
        self.verification = verification.Verification(options.hedge_ms)
        self.poll = poll_schedule.PollSchedule(rng, options.poll)
        self.chunks = chunk_loader.ChunkLoader()
        self.head: config_store.Head | None = None
        self.head_asked_ms = float('-inf')
        self.has_been_confirmed = False
        self.given_up = types.ConfigNumber(0)
        self.lagging: dict[str, types.ConfigNumber] = {}
        self.wants_watch = False
        self.is_watching = False

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force."""
        return self.held.number

    @property
    def is_behind(self) -> bool:
        """Whether somebody has shown a higher number."""
        return self.catch_up.heard > self.number

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the number was confirmed recently and is not behind.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self.confirmed_ms(now_ms)
        is_confirmed = age_ms <= self.options.fresh.fresh_ms
        return is_confirmed and not self.is_held_back(now_ms)

    def may_serve(self, now_ms: float) -> bool:
        """Tell whether the node may report itself ready.

        It may from the moment it holds a configuration that the store, or
        as many peers as count as witnesses, have confirmed once.

        :param now_ms: the current time.
        """
        if not self.has_been_confirmed and self.number > 0:
            confirmed_ms = self.confirmed_ms(now_ms)
            self.has_been_confirmed = confirmed_ms > float('-inf')
        return self.has_been_confirmed

    def confirmed_ms(self, now_ms: float) -> float:
        """Return the time up to which the number is confirmed."""
        known = self.sources.count_good_peers(now_ms)
        return self.fresh.confirmed_ms(known)

    def may_ask_store(self, is_routine: bool) -> bool:
        """Tell whether a verification may use the store.

        A node that was paused always may. A busy one renews every few
        seconds, of which the store bears a fixed rate in all.
        """
        if not is_routine:
            return True
        renew_ms = self.options.fresh.renew_ms
        budget = self.options.store_checks_per_s
        part = poll_schedule.find_store_part(
            budget, self.sources.size, renew_ms
        )
        return self.rng.random() < part

    def is_held_back(self, now_ms: float) -> bool:
        """Tell whether a higher number may still be learned.

        A number that nobody could supply for long does not hold the node
        back for ever: its sender may have failed while the store was down.
        """
        if not self.is_behind:
            return False
        waited_ms = now_ms - self.catch_up.since_ms
        if waited_ms < self.options.behind_limit_ms:
            return True
        if self.given_up < self.catch_up.heard:
            self.given_up = self.catch_up.heard
            logger.error(
                'CONFIG {} not supplied by anyone in {:.0f} ms. Serving on '
                'with {}.',
                self.given_up,
                waited_ms,
                self.number,
            )
        return False

    def confirm_by_head(self) -> None:
        """Take the last read of the head as proof, once it is reached."""
        if self.head is not None and self.head.number <= self.number:
            self.fresh.on_store_answer(self.head_asked_ms)
