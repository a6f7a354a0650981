"""Orders the requests to an overloaded service, and refuses in time.

Load pattern: for some seconds more requests come than a service has room for,
as with a third of its engines dark, twice the usual callers, or one account at
nine times its usual rate. Prompts of 800 and of 12,000 tokens compete, urgent
kinds with others, and requests that can still be in time with those that
can't. What waits or is turned away is what costs callers least; nothing is
starved. A request that can't be served while it is of use is refused as soon
as that is known.
"""

import dataclasses
import math
import random
import typing

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import decayed_rate
from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import overload_rank
from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import returning
from foxtailpick.core.dispatch import served_share
from foxtailpick.core import types

# A request that waits is refused if its expected wait is this multiple of the
# time that it may still wait: the estimate varies with each run that ends.
HOPELESS_FACTOR = 1.5
# Least part of the room that is expected for a level while more urgent ones
# take all: some of its requests are served before them.
MIN_LEVEL_SHARE = 0.1
# Weight of the newest sample in this router's mean part of the room.
PART_WEIGHT = 0.2
# Load changes within this time, so that a later return can't be promised.
MAX_RETURN_MS = 5_000.0
# Prompts that may be unread as a multiple of what keeps engines busy, by level
# below the most urgent one: more urgent requests find room at once.
WINDOW_SHARES = (2.0, 0.85, 0.7, 0.55)
# Levels that were admitted less often lately are kept no room for.
MIN_LEVEL_PER_S = 0.1
# Room that is not used is kept for requests that come until the next check.
MAX_SAVED = 1.0
# Requests for which the room of the next check may be used: one that would be
# admitted then needn't wait for it.
MAX_BORROWED = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """What ends at the endpoints, and what waits there; of one router.

    :param requests_per_s: requests that end, infinite if unknown.
    :param tokens_per_s: tokens of prompts that are read, infinite without a
        bound.
    :param excess_requests: requests that wait for a slot.
    :param excess_tokens: tokens that are more than keep engines busy.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = math.inf
    excess_requests: float = 0.0
    excess_tokens: float = 0.0


@dataclasses.dataclass(slots=True)
class _Admitted:
    requests: decayed_rate.DecayedRate = dataclasses.field(
        default_factory=decayed_rate.DecayedRate
    )
    tokens: decayed_rate.DecayedRate = dataclasses.field(
        default_factory=decayed_rate.DecayedRate
    )


@dataclasses.dataclass(slots=True)
class Order:
    """Requests to one service that wait at this router.

    :param detector: whether the service is overloaded.
    :param tickets: the waiting requests.
    :param backlog: prompts of this router that aren't read yet.
    :param usage: work of the accounts.
    :param shares: how often kinds, accounts and sizes are served.
    :param refused: requests that may return.
    :param saved_requests: requests that may still be sent before the next
        check, negative if more were sent.
    :param unread: tokens of this router's prompts without a first event.
    :param window: tokens of all routers' prompts that may be, None without a
        bound.
    :param is_window_short: whether prompts waited for the window at the last
        check.
    :param own_room: requests that it could send at the last check.
    :param part: this router's mean part of the room, None before the first.
    :param flow: what this router's requests at the endpoints hold up.
    """

    detector: overload.Detector = dataclasses.field(
        default_factory=overload.Detector
    )
    tickets: list[overload_rank.Ticket] = dataclasses.field(
        default_factory=list
    )
    backlog: prompt_backlog.PromptBacklog = dataclasses.field(
        default_factory=prompt_backlog.PromptBacklog
    )
    usage: overload_usage.Usage = dataclasses.field(
        default_factory=overload_usage.Usage
    )
    shares: served_share.ServedShares = dataclasses.field(
        default_factory=served_share.ServedShares
    )
    refused: returning.RefusedRequests = dataclasses.field(
        default_factory=returning.RefusedRequests
    )
    saved_requests: float = 0.0
    unread: float = 0.0
    window: float | None = None
    is_window_short: bool = False
    own_room: float = 0.0
    part: float | None = None
    flow: Flow = Flow()
    _admitted: dict[int, _Admitted] = dataclasses.field(default_factory=dict)
    _returns: dict[int, refusal.ReturnSchedule] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_short(self) -> bool:
        """Whether more requests wait than there was room for at a check."""
        return len(self.tickets) > max(1.0, self.own_room)

    def make_ranking(
        self, now_ms: float
    ) -> typing.Callable[[overload_rank.Ticket], overload_rank.Rank]:
        """Return a function that ranks requests, the first one lowest.

        :param now_ms: current time.
        """
        return overload_rank.make_ranking(self.shares, self.usage, now_ms)

    def count_waiting(self) -> dict[int, int]:
        """Return the waiting requests by priority level."""
        waiting: dict[int, int] = {}
        for ticket in self.tickets:
            waiting[ticket.level] = waiting.get(ticket.level, 0) + 1
        return waiting


def compute_longest_wait_ms(
    abandon_after_ms: float, left_ms: float, run_ms: float
) -> float:
    """Return how long a request may wait and still be of use.

    :param abandon_after_ms: how long its caller waits for a first event.
    :param left_ms: time left until the deadline of the request.
    :param run_ms: expected time from sending it to the end of its answer.
    """
    longest_ms = admission_queue.compute_max_wait_ms(abandon_after_ms, left_ms)
    return max(0.0, min(longest_ms, left_ms - run_ms))


def arrive(order: Order, ticket: overload_rank.Ticket, now_ms: float) -> bool:
    """Admit a request that comes now if there is room for it.

    :param order: order of its service.
    :param ticket: the request.
    :param now_ms: current time.
    :returns: whether it is admitted; otherwise it may wait.
    """
    rank = order.make_ranking(now_ms)
    own = rank(ticket)
    borrowed = min(MAX_BORROWED, order.own_room)
    if order.saved_requests < 1 - borrowed or not _has_window(
        order, own, now_ms
    ):
        return False
    if ticket.arrival.is_early:
        return False
    if order.tickets and own > min(map(rank, order.tickets)):
        return False
    _admit(order, ticket, own, now_ms)
    return True


def estimate_wait_ms(
    order: Order, ticket: overload_rank.Ticket, now_ms: float
) -> float:
    """Estimate how long a request will wait, infinite if nothing ends.

    More urgent requests that come meanwhile take their part of the room. A
    request that comes again earlier than asked doesn't wait at all: its
    caller would have a place before those that return when they are asked to.

    :param order: order of its service.
    :param ticket: the request.
    :param now_ms: current time.
    """
    if ticket.arrival.is_early:
        return math.inf
    rank = order.make_ranking(now_ms)
    own = rank(ticket)
    ahead = [item for item in order.tickets if rank(item) < own]
    tokens = sum(item.prompt_tokens for item in ahead)
    return _estimate_ms(order, ticket, len(ahead), tokens, own, now_ms)


def add(order: Order, ticket: overload_rank.Ticket) -> None:
    """Let a request wait.

    :param order: order of its service.
    :param ticket: the request.
    """
    order.tickets.append(ticket)


def remove(order: Order, ticket: overload_rank.Ticket) -> None:
    """Drop a request whose caller left, or that was decided.

    :param order: order of its service.
    :param ticket: the request.
    """
    if ticket in order.tickets:
        order.tickets.remove(ticket)


def update_room(
    order: Order,
    load: overload.Load,
    mean_run_ms: float,
    target_ms: float,
    unread: float,
    routers: int,
    now_ms: float,
) -> None:
    """Set what this router may send until the next check.

    :param order: order of the service.
    :param load: load of the service.
    :param mean_run_ms: mean time of a request at an endpoint, 0 if unknown.
    :param target_ms: shortest target of its routes.
    :param unread: tokens of this router's prompts without a first event.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    if not load.slots:
        # What is expected holds until endpoints take work again.
        order.own_room = 0.0
        order.saved_requests = min(order.saved_requests, 0.0)
        order.unread = unread
        return
    room = overload.compute_room(load, mean_run_ms, target_ms)
    own = overload_usage.compute_part(
        room, order.count_waiting(), order.usage, routers, now_ms
    )
    if order.part is None:
        order.part = 1 / routers
    order.part += PART_WEIGHT * (own - order.part)
    order.own_room = own * room
    order.saved_requests = (
        min(order.saved_requests, MAX_SAVED) + order.own_room
    )
    order.unread = unread
    order.window = overload.update_window(
        order.window, load, target_ms, order.is_window_short
    )
    tokens_per_s = math.inf
    excess_tokens = 0.0
    if order.window is not None:
        tokens_per_s = overload.compute_read_rate_per_s(load, order.window)
        excess_tokens = max(0.0, load.unread - order.window)
    kept = overload.compute_kept_requests(load, mean_run_ms, target_ms)
    # A router where nothing waits gets a part once something does.
    part = max(order.part, 1 / routers)
    order.flow = Flow(
        overload.compute_rate_per_s(load, mean_run_ms) * part,
        tokens_per_s * part,
        max(0.0, load.requests - kept) * part,
        excess_tokens * part,
    )


def pop_admitted(order: Order, now_ms: float) -> list[overload_rank.Ticket]:
    """Remove and return the requests that are admitted now, in order.

    :param order: order of the service.
    :param now_ms: current time.
    """
    admitted = []
    order.is_window_short = False
    while order.tickets and order.saved_requests >= 1:
        rank = order.make_ranking(now_ms)
        best = min(order.tickets, key=rank)
        if not _has_window(order, rank(best), now_ms):
            order.is_window_short = True
            break
        most_urgent = min(item.level for item in order.tickets)
        best.is_lifted = not rank(best).is_usual
        best.sent_level = most_urgent if best.is_lifted else best.level
        order.tickets.remove(best)
        _admit(order, best, rank(best), now_ms)
        admitted.append(best)
    return admitted


def pop_all(order: Order, now_ms: float) -> list[overload_rank.Ticket]:
    """Remove and return all requests, since the service has room again.

    :param order: order of the service.
    :param now_ms: current time.
    """
    rank = order.make_ranking(now_ms)
    admitted, order.tickets = order.tickets, []
    for ticket in admitted:
        _admit(order, ticket, rank(ticket), now_ms)
    order.saved_requests = 0.0
    order.window = None
    order.is_window_short = False
    order._admitted.clear()
    order.part = None
    return admitted


def pop_hopeless(order: Order, now_ms: float) -> list[overload_rank.Ticket]:
    """Remove and return the requests that won't be sent while of use.

    :param order: order of the service.
    :param now_ms: current time.
    """
    rank = order.make_ranking(now_ms)
    kept: list[overload_rank.Ticket] = []
    hopeless = []
    tokens = 0
    for ticket in sorted(order.tickets, key=rank):
        wait_ms = _estimate_ms(
            order, ticket, len(kept), tokens, rank(ticket), now_ms
        )
        left_ms = ticket.until_ms - now_ms
        if left_ms <= 0 or wait_ms > HOPELESS_FACTOR * left_ms:
            hopeless.append(ticket)
        else:
            kept.append(ticket)
            tokens += ticket.prompt_tokens
    order.tickets = kept
    return hopeless


def refuse(
    order: Order,
    ticket: overload_rank.Ticket,
    left_ms: float,
    now_ms: float,
    rng: random.Random,
) -> float:
    """Record a refusal; return when its caller may return, in ms.

    Callers return one after the other, at the rate at which there is room for
    their level.

    :param order: order of the service.
    :param ticket: the request, which waits no more.
    :param left_ms: time left until its deadline.
    :param now_ms: current time.
    :param rng: source of random numbers.
    """
    if ticket.arrival.is_early:
        # Repeating at once neither changes the time nor takes a place.
        assert ticket.arrival.return_ms is not None
        return max(0.0, ticket.arrival.return_ms - now_ms)
    order.shares.record(ticket.groups, False, now_ms)
    schedule = order._returns.setdefault(
        ticket.level, refusal.ReturnSchedule()
    )
    # The caller's place among those that return, and what waits before them.
    rank = order.make_ranking(now_ms)(ticket)
    own_ms = _estimate_ms(order, ticket, 0, 0, rank, now_ms)
    if math.isinf(own_ms) or own_ms <= 0:
        # It isn't known how fast requests end.
        return MAX_RETURN_MS * rng.uniform(1 - refusal.JITTER, 1)
    before_ms = estimate_wait_ms(order, ticket, now_ms) - own_ms
    schedule.next_ms = max(schedule.next_ms, now_ms + before_ms)
    rate_per_s = types.SECOND_MS / own_ms
    wait_ms = refusal.schedule_return(schedule, rate_per_s, left_ms, now_ms)
    wait_ms = min(wait_ms + own_ms * rng.random(), MAX_RETURN_MS)
    if left_ms <= 0:
        return wait_ms
    # A caller that is asked to wait for longer returns earlier, or not at all.
    return min(wait_ms, refusal.MAX_RETRY_SHARE * left_ms)


def _estimate_ms(
    order: Order,
    ticket: overload_rank.Ticket,
    ahead: int,
    ahead_tokens: float,
    rank: overload_rank.Rank,
    now_ms: float,
) -> float:
    """Estimate the wait of a request behind others.

    :param order: order of its service.
    :param ticket: the request.
    :param ahead: number of requests before it.
    :param ahead_tokens: tokens of their prompts.
    :param rank: its rank. More urgent requests that come go before it.
    :param now_ms: current time.
    """
    urgent_requests = urgent_tokens = 0.0
    for level, admitted in order._admitted.items():
        if rank.is_usual and level < rank.level:
            urgent_requests += admitted.requests.compute_per_s(now_ms)
            urgent_tokens += admitted.tokens.compute_per_s(now_ms)
    flow = order.flow
    wait_ms = _divide(
        flow.excess_requests + ahead + 1, flow.requests_per_s, urgent_requests
    )
    if math.isinf(flow.tokens_per_s):
        return wait_ms
    tokens = flow.excess_tokens + ahead_tokens + ticket.prompt_tokens
    return max(wait_ms, _divide(tokens, flow.tokens_per_s, urgent_tokens))


def _divide(amount: float, per_s: float, urgent_per_s: float) -> float:
    """Return the time until an amount has ended, in ms."""
    left_per_s = max(per_s - urgent_per_s, MIN_LEVEL_SHARE * per_s)
    if left_per_s <= 0:
        return math.inf
    return amount * types.SECOND_MS / left_per_s


def _has_window(order: Order, rank: overload_rank.Rank, now_ms: float) -> bool:
    """Tell whether a request's prompt may be sent to be read.

    :param order: order of its service.
    :param rank: its rank.
    :param now_ms: current time.
    """
    if order.window is None or order.part is None:
        return True
    below = 0
    if rank.is_usual:
        most_urgent = min(
            (
                level
                for level, admitted in order._admitted.items()
                if admitted.requests.compute_per_s(now_ms) >= MIN_LEVEL_PER_S
            ),
            default=rank.level,
        )
        below = max(0, rank.level - most_urgent)
    share = WINDOW_SHARES[min(below, len(WINDOW_SHARES) - 1)]
    return order.unread < order.window * order.part * share


def _admit(
    order: Order,
    ticket: overload_rank.Ticket,
    rank: overload_rank.Rank,
    now_ms: float,
) -> None:
    admitted = order._admitted.setdefault(rank.level, _Admitted())
    admitted.requests.record(now_ms)
    admitted.tokens.record(now_ms, ticket.prompt_tokens)
    order.saved_requests -= 1
    order.unread += ticket.prompt_tokens
    order.shares.record(ticket.groups, True, now_ms)
    overload_usage.record_work(
        order.usage, ticket.account, ticket.work.cost, now_ms
    )
