"""State of a configuration tracker and the conditions derived from it."""

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
    """Limits of a tracker.

    :param poll: options of polling.
    :param announce: options of announcements.
    :param fresh: options of freshness.
    :param store_checks_per_s: rate of freshness renewals of the whole fleet
        that go to the store; the others go to peers.
    :param hedge_ms: delay before the next source is queried as well.
    :param store_slow_ms: response time of the store above which
        verifications go to peers.
    :param catch_up_timeout_ms: how long a number that no source can supply
        blocks new work.
    :param pause_threshold_ms: how late the driver may call `next_action`.
        Beyond it the process counts as paused, and requests that timed out
        are not counted as failures of their sources.
    """

    poll: poll_schedule.PollOptions = poll_schedule.PollOptions()
    announce: config_announcer.AnnouncerOptions = (
        config_announcer.AnnouncerOptions()
    )
    fresh: freshness.FreshnessOptions = freshness.FreshnessOptions()
    store_checks_per_s: float = 200.0
    hedge_ms: float = 250.0
    store_slow_ms: float = 1_000.0
    catch_up_timeout_ms: float = 30_000.0
    pause_threshold_ms: float = 500.0


class TrackerState:
    """The components and flags of a tracker.

    :param node: id of the node.
    :param rng: source of jitter and of random peers.
    :param monitor: checks that the number never decreases.
    :param options: the limits.
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
        self.node_config = node_config.NodeConfig(node, monitor)
        self.sources = config_sources.Sources(rng)
        self.in_flight = config_sources.ActionsInFlight()
        self.fresh = freshness.Freshness(options.fresh)
        self.announcer = config_announcer.Announcer(options.announce)
        self.catch_up = catch_up.CatchUp(options.hedge_ms)
        self.verification = verification.Verification(options.hedge_ms)
        self.poll = poll_schedule.PollSchedule(rng, options.poll)
        self.chunks = chunk_loader.ChunkLoader()
        self.head: config_store.Head | None = None
        self.head_asked_ms = float('-inf')
        self.has_been_confirmed = False
        self.abandoned_number = types.ConfigNumber(0)
        self.lagging_peers: dict[str, types.ConfigNumber] = {}
        self.wants_watch = False
        self.is_watching = False

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force."""
        return self.node_config.number

    @property
    def is_behind(self) -> bool:
        """Whether a higher number has been seen."""
        return self.catch_up.highest_seen > self.number

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the number was confirmed recently and is not outdated.

        :param now_ms: the current time.
        """
        age_ms = now_ms - self.confirmed_ms(now_ms)
        is_confirmed = age_ms <= self.options.fresh.fresh_ms
        return is_confirmed and not self.must_catch_up(now_ms)

    def may_serve(self, now_ms: float) -> bool:
        """Tell whether the node may report itself ready.

        It may once the store or a quorum of peers has confirmed a
        configuration that it holds.

        :param now_ms: the current time.
        """
        if not self.has_been_confirmed and self.number > 0:
            confirmed_ms = self.confirmed_ms(now_ms)
            self.has_been_confirmed = confirmed_ms > float('-inf')
        return self.has_been_confirmed

    def confirmed_ms(self, now_ms: float) -> float:
        """Return the time up to which the number is confirmed."""
        known = self.sources.count_available_peers(now_ms)
        return self.fresh.confirmed_ms(known)

    def may_query_store(self, is_renewal: bool) -> bool:
        """Tell whether a verification may use the store.

        A node that was paused always may. A busy node renews every few
        seconds; the store takes a fixed rate of these for the whole fleet.
        """
        if not is_renewal:
            return True
        renew_ms = self.options.fresh.renew_ms
        budget = self.options.store_checks_per_s
        fraction = poll_schedule.compute_store_fraction(
            budget, self.sources.fleet_size, renew_ms
        )
        return self.rng.random() < fraction

    def must_catch_up(self, now_ms: float) -> bool:
        """Tell whether new work must wait for a higher number.

        A number that no source supplies within `catch_up_timeout_ms` no
        longer blocks work: its sender may have failed during an outage of
        the store.
        """
        if not self.is_behind:
            return False
        waited_ms = now_ms - self.catch_up.behind_since_ms
        if waited_ms < self.options.catch_up_timeout_ms:
            return True
        if self.abandoned_number < self.catch_up.highest_seen:
            self.abandoned_number = self.catch_up.highest_seen
            logger.error(
                'CONFIG {} not supplied by any source in {:.0f} ms. '
                'Continuing with {}.',
                self.abandoned_number,
                waited_ms,
                self.number,
            )
        return False

    def confirm_from_head(self) -> None:
        """Count the last read of the head as confirmation, if reached."""
        if self.head is not None and self.head.number <= self.number:
            self.fresh.on_store_answer(self.head_asked_ms)
