"""Detects the overload of a service, and how many requests it has room for.

Load pattern: a third of the engines is dark, or all callers send twice their
usual, so that no endpoint has a free slot, or prompts come faster than engines
read them. In contrast to one slow endpoint or one hot prompt, whose queue
doesn't fill the slots of the others. The counts of requests in flight are up
to 300 ms old, as long as many a run of a plain service.
"""

import dataclasses
import math
import typing

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import load_exchange
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import stale_load
from foxtailpick.core import types

# Load is not spread evenly, so that some endpoints queue requests from this
# utilization on. They serve urgent ones first and lose nothing yet.
ENTER_UTILIZATION = 0.95
LEAVE_UTILIZATION = 0.8
# Mean wait of a prompt for its first event, as a share of the target of its
# route.
ENTER_DELAY_SHARE = 1.0
LEAVE_DELAY_SHARE = 0.6
# Wait for the first event that keeps engines busy, as a share of the shortest
# target of the service.
KEPT_DELAY_SHARE = 0.75
# Least room, as a share of what ends: the most urgent requests needn't wait
# until what was sent before the overload showed has ended.
MIN_ENDING_SHARE = 1.0
# Least room, as a share of the slots, while nothing ends: what is sent shows
# when the endpoints go on.
MIN_ROOM_SHARE = 0.002
# Wait at an endpoint that keeps its slots in use, as a share of the shortest
# target, and the requests that wait as a share of the slots: endpoints queue
# a few only.
QUEUE_TARGET_SHARE = 0.25
MAX_QUEUE_SHARE = 0.5
# Weight of what is read at a check: a window is corrected in half a second.
WINDOW_WEIGHT = 0.1
# Share of the window that has to be in use to tell how fast engines read.
WINDOW_USED_SHARE = 0.8
# Some checks in a row: one may fall on a short peak.
ENTER_MS = 150.0
# A few runs, so that the end of a burst shows.
LEAVE_MS = 500.0
# The counts of a service with runs shorter than their age are averaged over
# about two intervals of the exchange.
AVERAGING_MS = 300.0
# Age of the counts when the next ones arrive.
COUNTS_AGE_MS = load_exchange.INTERVAL_MS + stale_load.REPORT_AGE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of the endpoints of a service that take work.

    :param slots: their slots.
    :param in_use: slots in use.
    :param requests: requests in flight, with those that wait for a slot.
    :param unread: tokens of prompts without a first event, at all routers.
    :param read_per_s: tokens of prompts that got theirs per second lately.
    :param target_ms: mean target of these prompts, 0 if there are none.
    """

    slots: int
    in_use: float
    requests: float
    unread: float = 0.0
    read_per_s: float = 0.0
    target_ms: float = 0.0

    @property
    def delay_ms(self) -> float:
        """Mean wait of a prompt for its first event, 0 if unknown."""
        if not self.read_per_s:
            return 0.0
        return self.unread * types.SECOND_MS / self.read_per_s

    @property
    def delay_share(self) -> float:
        """Mean wait for the first event, as a share of the target."""
        return self.delay_ms / self.target_ms if self.target_ms else 0.0


@dataclasses.dataclass(slots=True)
class Detector:
    """Whether a service is overloaded.

    :param is_overloaded: whether it is.
    :param utilization: share of its slots in use.
    :param crossed_ms: since when the utilization says otherwise, None if it
        doesn't.
    """

    is_overloaded: bool = False
    utilization: float = 0.0
    crossed_ms: float | None = None


def list_ordered(
    cfg: model.GatewayConfig | None,
) -> dict[types.ServiceId, float]:
    """Return the services whose requests are ordered under overload.

    They are those that several routes share, in a configuration with client
    accounts: only there do kinds and accounts compete.

    :param cfg: the configuration in force.
    :returns: the shortest target latency of the routes to each of them, in
        ms.
    """
    if cfg is None or not cfg.has_accounts:
        return {}
    targets: dict[types.ServiceId, list[float]] = {}
    for route in cfg.routes:
        for target in route.targets:
            targets.setdefault(target.service, []).append(route.target_ms)
    return {
        service: min(found)
        for service, found in targets.items()
        if len(found) > 1
    }


def measure(
    usable: typing.Sequence[endpoint_table.Endpoint],
) -> Load:
    """Return the load of a service, without the prompts that aren't read.

    :param usable: its endpoints that take work.
    """
    return Load(
        slots=sum(item.entry.slots for item in usable),
        in_use=sum(min(item.load, item.entry.slots) for item in usable),
        requests=sum(item.load for item in usable),
    )


def list_usable(
    endpoints: typing.Iterable[endpoint_table.Endpoint], now_ms: float
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints that take work.

    :param endpoints: endpoints of the service that accept new work.
    :param now_ms: current time.
    """
    return [
        item
        for item in endpoints
        if not item.health.is_paused(now_ms)
        and not item.health.is_silent(now_ms)
        and not item.announced.is_resting(now_ms)
        and not item.is_cold(now_ms)
    ]


def update(
    detector: Detector,
    load: Load,
    mean_run_ms: float,
    is_short: bool,
    now_ms: float,
) -> bool:
    """Update the state; called every `admission_queue.CHECK_INTERVAL_MS`.

    :param detector: state of the service.
    :param load: its load.
    :param mean_run_ms: mean run time of its requests, 0 if unknown.
    :param is_short: whether more requests wait than there is room for.
    :param now_ms: current time.
    :returns: whether the state changed.
    """
    weight = 1.0
    if mean_run_ms < admission_queue.SHORT_RUN_MS:
        weight = admission_queue.CHECK_INTERVAL_MS / AVERAGING_MS
    if load.slots:
        current = load.in_use / load.slots
        detector.utilization += weight * (current - detector.utilization)
    if not load.slots:
        # Without endpoints there is nothing to wait for.
        is_crossed = detector.is_overloaded
        after_ms = LEAVE_MS
    elif detector.is_overloaded:
        is_crossed = (
            not is_short
            and detector.utilization < LEAVE_UTILIZATION
            and load.delay_share < LEAVE_DELAY_SHARE
        )
        after_ms = LEAVE_MS
    else:
        is_crossed = (
            detector.utilization >= ENTER_UTILIZATION
            or load.delay_share >= ENTER_DELAY_SHARE
        )
        after_ms = ENTER_MS
    if not is_crossed:
        detector.crossed_ms = None
        return False
    if detector.crossed_ms is None:
        detector.crossed_ms = now_ms
    if now_ms - detector.crossed_ms < after_ms:
        return False
    detector.is_overloaded = not detector.is_overloaded
    detector.crossed_ms = None
    return True


def compute_kept_requests(
    load: Load, mean_run_ms: float, target_ms: float
) -> float:
    """Return how many requests in flight keep all slots in use.

    Requests are spread unevenly, so that slots are idle unless some wait at
    each endpoint. A request that waits there behind as many as there are
    slots waits for a run.

    :param load: load of the service.
    :param mean_run_ms: mean time of a request at an endpoint, 0 if unknown.
    :param target_ms: shortest target of its routes.
    """
    kept = 1 - admission_queue.RESERVED_SHARE
    if mean_run_ms:
        wait_ms = QUEUE_TARGET_SHARE * target_ms
        kept += min(MAX_QUEUE_SHARE, wait_ms / mean_run_ms)
    return load.slots * kept


def compute_room(load: Load, mean_run_ms: float, target_ms: float) -> float:
    """Return how many requests all routers may send until the next check.

    These are the requests that end meanwhile if all slots are in use, and
    what is missing to keep them so. Counts don't show requests sent in the
    last `COUNTS_AGE_MS`, so this is paid out over this time. While too many
    requests wait at the endpoints, fewer are sent than end.

    :param load: load of the service.
    :param mean_run_ms: mean time of a request at an endpoint, 0 if unknown.
    :param target_ms: shortest target of its routes.
    """
    interval_ms = admission_queue.CHECK_INTERVAL_MS
    kept = compute_kept_requests(load, mean_run_ms, target_ms)
    missing = kept - load.requests
    ending = kept * interval_ms / mean_run_ms if mean_run_ms else 0.0
    return max(
        MIN_ROOM_SHARE * load.slots,
        MIN_ENDING_SHARE * ending,
        ending + missing * interval_ms / COUNTS_AGE_MS,
    )


def update_window(
    window: float | None, load: Load, target_ms: float, is_short: bool
) -> float | None:
    """Return how many tokens of prompts may wait for their first event.

    As many as engines read in a part of the shortest target. While the window
    isn't used, engines could read more than they do, and it stays. It grows
    while prompts wait for it and engines begin to answer sooner than that:
    less urgent ones may not use all of it.

    :param window: the present value, None before the first.
    :param load: load of the service.
    :param target_ms: shortest target for the first event of its routes.
    :param is_short: whether prompts wait since it is in use.
    :returns: None as long as nothing is read.
    """
    if not load.read_per_s:
        return window
    kept_ms = KEPT_DELAY_SHARE * target_ms
    wanted = load.read_per_s * kept_ms / types.SECOND_MS
    if window is None:
        return wanted
    is_used = load.unread >= WINDOW_USED_SHARE * window
    if is_short and 0 < load.delay_ms < kept_ms:
        wanted = max(wanted, window * kept_ms / load.delay_ms)
        is_used = True
    if not is_used and load.delay_ms <= kept_ms:
        return window
    return window + WINDOW_WEIGHT * (wanted - window)


def compute_rate_per_s(load: Load, mean_run_ms: float) -> float:
    """Return the requests that end per second if all slots are in use.

    :param load: load of the service.
    :param mean_run_ms: mean time of a request at an endpoint, 0 if unknown.
    :returns: infinite if it is unknown.
    """
    if not mean_run_ms:
        return math.inf
    requests = max(load.requests, load.slots)
    return requests * types.SECOND_MS / mean_run_ms


def compute_read_rate_per_s(load: Load, window: float) -> float:
    """Return the tokens that are read per second if the window is full.

    :param load: load of the service.
    :param window: tokens that may wait for their first event.
    """
    return load.read_per_s * max(1.0, window / max(1.0, load.unread))
