"""Chooses the endpoint of a request.

Load pattern: chats return to the endpoint that has their prompt cached,
while a few hot prompts receive much of the traffic. Rendezvous hashing
sends the same prompt to the same endpoint from every router without
coordination. A load bound sends the overflow of a hot prompt to the next
endpoint in its rendezvous order before the first one is overloaded. While
part of a service is unavailable, the rest has more than its mean load; the
bound follows the mean of the service, to which the limit applies. If this
leaves less room than routers with the same stale counts may use up together,
requests are spread over the rest without affinity. An overflowing request
fetches the cached prompt from its home endpoint, the first in that order,
instead of having it processed again. An endpoint that limits the rate of its
requests is skipped for those above the limit. If nearly all slots are in use,
prompt affinity does not queue requests at a full endpoint. If all endpoints
fail part of their requests, pausing each of them in turn would scatter the
prompts without serving more callers, so only a third of a service is paused
for partial failures. Requests without a prompt
go to the less loaded of two random endpoints, so that routers with the same
stale load report do not all choose the same endpoint; if runs are shorter than
the counts are old, to the one with the fewest requests of this router. Where
endpoints differ in pace, slow ones overflow earlier, and the less expected
time counts instead of the load.
"""

import dataclasses
import enum
import math
import random
import typing

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import load_limit
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import paced_load
from foxtailpick.core.dispatch import prompt_holder
from foxtailpick.core.dispatch import rate_limits
from foxtailpick.core.dispatch import rate_share
from foxtailpick.core.dispatch import shared_health
from foxtailpick.core.dispatch import short_runs
from foxtailpick.core.dispatch import stale_load
from foxtailpick.core import types

# The bound leaves too little room if it is below the mean of the candidates
# plus so many times what other routers are expected to have sent unseen, plus
# one.
UNSEEN_MULTIPLE = 1.0
# Usable share of an endpoint's connection limit: the endpoint accepts fewer
# connections while its queue is long, and resets those above its limit.
USABLE_CONNECTION_SHARE = 0.9
# Largest share of a service that is paused for failing part of its requests.
MAX_PAUSED_SHARE = 1 / 3
# If all endpoints are full, a queue of this share of the slots delays a
# request about as long as processing a long prompt at another endpoint does
# (64 to 128 ms on the platform, with run times of one to two seconds).
FULL_QUEUE_SHARE = 0.0625


class Reason(enum.Enum):
    """Why an endpoint was chosen, as written to the log."""

    PREFIX = 'prefix'
    OVERFLOW = 'overflow'
    SPREAD = 'spread'
    LEAST_LOADED = 'least-loaded'
    LAST_RESORT = 'last-resort'


class Obstacle(enum.Enum):
    """Why no endpoint can be chosen."""

    NONE_LISTED = 'none-listed'
    ALL_COLD = 'all-cold'
    ALL_TRIED = 'all-tried'
    ALL_FULL = 'all-full'
    ALL_RESTING = 'all-resting'
    ALL_LIMITED = 'all-limited'
    NO_MEMORY = 'no-memory'


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a request, and the basis of the choice.

    :param endpoint: the chosen endpoint.
    :param reason: why it was chosen.
    :param mean_load: mean load of the candidates.
    :param candidates: number of candidates.
    :param service_mean_load: mean load of all listed endpoints of the service.
    :param holder: another endpoint that probably has the prompt cached.
    :param is_within_limit: whether the request counts towards the rate limit
        that the endpoint names.
    """

    endpoint: endpoint_table.Endpoint
    reason: Reason
    mean_load: float
    candidates: int
    service_mean_load: float
    holder: endpoint_table.Endpoint | None = None
    is_within_limit: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Inputs of a placement other than the candidate endpoints.

    :param service: the service.
    :param prefix: id of the prompt part that determines affinity, if any.
    :param tried: endpoints that the request was already sent to.
    :param routers: number of routers sharing the service, including this
        one.
    :param now_ms: current time.
    :param service_mean_load: mean load of all listed endpoints of the
        service, including those that accept no new work.
    :param leaving: endpoints that accept no new work, but whose cached
        prompts may be fetched.
    :param rate_per_s: placements of this router at the service, per second.
    :param mean_run_ms: mean run time of the service's requests, 0 if unknown.
    """

    service: model.Service
    prefix: str | None
    tried: frozenset[types.EndpointId]
    routers: int
    now_ms: float
    service_mean_load: float
    leaving: typing.Sequence[endpoint_table.Endpoint] = ()
    rate_per_s: float = 0.0
    mean_run_ms: float = 0.0


def choose_endpoint(
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    query: Query,
    rng: random.Random,
) -> Choice | Obstacle:
    """Choose an endpoint for a request.

    :param endpoints: endpoints of the service that accept new work.
    :param query: the other inputs of the placement.
    :param rng: source of random numbers.
    :returns: the choice, or the reason why there is none.
    """
    if not endpoints:
        return Obstacle.NONE_LISTED
    untried = [item for item in endpoints if item.id not in query.tried]
    if not untried:
        return Obstacle.ALL_TRIED
    awake = [
        item for item in untried if not item.announced.is_resting(query.now_ms)
    ]
    if not awake:
        return Obstacle.ALL_RESTING
    accepting = [item for item in awake if _can_accept(item, query, rng)]
    if not accepting:
        is_cold = any(item.is_cold(query.now_ms) for item in awake)
        return Obstacle.ALL_COLD if is_cold else Obstacle.ALL_FULL
    ejected = _list_ejected(endpoints, query.now_ms)
    suspects = _list_suspects(endpoints, query.now_ms)
    healthy = [item for item in accepting if item.id not in suspects]
    usable = [item for item in healthy if item.id not in ejected]
    if not usable:
        return _choose_last_resort(accepting, query)
    mean = endpoint_table.compute_mean_load(healthy)
    if query.prefix is None:
        return _choose_of_two(usable, mean, query, rng)
    choice = _choose_by_prefix(usable, mean, query, rng)
    holder = prompt_holder.find_holder(
        choice.endpoint,
        endpoints,
        query.leaving,
        query.prefix,
        query.now_ms,
    )
    return dataclasses.replace(choice, holder=holder)


def choose_within_limits(
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    query: Query,
    rng: random.Random,
) -> Choice | Obstacle:
    """Choose an endpoint for a request that is sent at once.

    Endpoints that limit the rate of their requests are tried in the same
    order as others; one that can't take the request is skipped. The others
    get what the limited ones can't take while they have free slots: beyond
    that they would be in need next, one after the other.

    :param endpoints: endpoints of the service that accept new work.
    :param query: the other inputs of the placement.
    :param rng: source of random numbers.
    :returns: the choice, or the reason why there is none.
    """
    tried = query.tried
    while True:
        found = choose_endpoint(endpoints, query, rng)
        has_skipped = query.tried != tried
        if not isinstance(found, Choice):
            is_limited = has_skipped and found is Obstacle.ALL_TRIED
            return Obstacle.ALL_LIMITED if is_limited else found
        limit = found.endpoint.announced.rate_limit
        if not limit.is_limited:
            if has_skipped and not _has_free_slot(found):
                return Obstacle.ALL_LIMITED
            limit.wanted.record(query.now_ms)
            return found
        if rate_limits.admit(limit, query.routers, query.now_ms, rng):
            return dataclasses.replace(found, is_within_limit=True)
        skipped = query.tried | {found.endpoint.id}
        query = dataclasses.replace(query, tried=skipped)


def _has_free_slot(choice: Choice) -> bool:
    endpoint = choice.endpoint
    return choice.reason is not Reason.LAST_RESORT and endpoint.has_free_slot


def compute_limited_rate_per_s(
    endpoints: typing.Iterable[endpoint_table.Endpoint],
    routers: int,
    now_ms: float,
) -> float:
    """Return the requests a second that limited endpoints take from here.

    :param endpoints: endpoints of a service.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    return sum(
        rate_limits.compute_share_per_s(
            item.announced.rate_limit, routers, now_ms
        )
        for item in endpoints
        if item.announced.rate_limit.is_limited
    )


def compute_rest_ms(
    endpoints: typing.Iterable[endpoint_table.Endpoint],
    tried: typing.Container[types.EndpointId],
    now_ms: float,
) -> float:
    """Return the time until the first endpoint's rest is over, 0 if none.

    :param endpoints: endpoints of a service.
    :param tried: endpoints that the request was already sent to.
    :param now_ms: current time.
    """
    ends_ms = (
        item.announced.rest_until_ms
        for item in endpoints
        if item.id not in tried
    )
    return max(0.0, min(ends_ms, default=now_ms) - now_ms)


def find_affinity_part(parts: typing.Sequence[model.PromptPart]) -> str | None:
    """Return the id of the prompt part that determines affinity.

    The last part is unique to the request, so the part before it ends the
    longest prefix shared with other requests.

    :param parts: the parts of the prompt, in order.
    """
    if not parts:
        return None
    return parts[-2].id if len(parts) > 1 else parts[-1].id


def _can_accept(
    item: endpoint_table.Endpoint, query: Query, rng: random.Random
) -> bool:
    if item.running >= _compute_max_connections(query):
        return False
    rate = query.service.warmup_per_s
    if rate <= 0 or not item.is_cold(query.now_ms):
        return True
    return rate_share.has_slot(
        item.warmup_share, rate, query.routers, query.now_ms, rng
    )


def _compute_max_connections(query: Query) -> float:
    """Return this router's share of an endpoint's connection limit."""
    limit = query.service.max_connections
    if limit <= 0:
        return math.inf
    return max(1, math.floor(USABLE_CONNECTION_SHARE * limit / query.routers))


def _list_ejected(
    endpoints: typing.Sequence[endpoint_table.Endpoint], now_ms: float
) -> set[types.EndpointId]:
    """Return the ejected endpoints with the most failures, up to a limit.

    Without recent messages from the hub no endpoint is ejected.
    """
    failed = {
        item.id: item.shared_outcomes.failed
        for item in endpoints
        if item.is_ejected
        and item.shared_outcomes is not None
        and shared_health.is_recent(item.shared_outcomes, now_ms)
    }
    limit = int(len(endpoints) * shared_health.MAX_EJECTED_SHARE)
    return set(sorted(failed, key=failed.__getitem__, reverse=True)[:limit])


def _list_suspects(
    endpoints: typing.Sequence[endpoint_table.Endpoint], now_ms: float
) -> set[types.EndpointId]:
    """Return the paused and the unresponsive endpoints.

    Of those that serve part of their callers, only the ones with the most
    failures are paused, up to a limit.
    """
    partly = {
        item.id: item.health.failures
        for item in endpoints
        if item.health.is_partly_failing(now_ms)
    }
    limit = max(1, int(len(endpoints) * MAX_PAUSED_SHARE))
    worst = sorted(partly, key=partly.__getitem__, reverse=True)[:limit]
    return {
        item.id
        for item in endpoints
        if item.id in worst
        or (item.id not in partly and item.health.is_suspect(now_ms))
    }


def _choose_last_resort(
    items: typing.Sequence[endpoint_table.Endpoint], query: Query
) -> Choice:
    best = min(items, key=lambda item: item.health.paused_until_ms)
    mean = sum(item.load for item in items) / len(items)
    return _make_choice(best, Reason.LAST_RESORT, mean, items, query)


def _choose_of_two(
    items: typing.Sequence[endpoint_table.Endpoint],
    mean: float,
    query: Query,
    rng: random.Random,
) -> Choice:
    is_paced = paced_load.has_paces(items)
    is_stale = short_runs.has_stale_counts(query.mean_run_ms)
    if is_stale and not is_paced:
        best = short_runs.choose_by_own_requests(items, rng)
        return _make_choice(best, Reason.LEAST_LOADED, mean, items, query)
    pair = rng.sample(items, min(2, len(items)))
    if is_paced:
        limit = load_limit.compute_guaranteed_limit(query.service_mean_load)
        below = [item for item in pair if item.load + 1 <= limit]
        pair = below or pair
    if is_stale:
        best = paced_load.choose_by_own_requests(pair, query.now_ms, rng)
    elif is_paced:
        best = min(
            pair,
            key=lambda item: paced_load.estimate_time(item, query.now_ms),
        )
    else:
        best = min(pair, key=lambda item: item.load / item.entry.slots)
    return _make_choice(best, Reason.LEAST_LOADED, mean, items, query)


def _choose_by_prefix(
    items: typing.Sequence[endpoint_table.Endpoint],
    mean: float,
    query: Query,
    rng: random.Random,
) -> Choice:
    if _has_little_room(items, mean, query):
        return _spread(items, mean, query, rng)
    # One random draw for all endpoints: a request that skips a loaded
    # endpoint also skips others with the same load.
    draw = rng.random()
    soft_bound, hard_bound = load_limit.compute_bounds(
        mean, query.service_mean_load
    )
    bound = soft_bound + draw * (hard_bound - soft_bound)
    assert query.prefix is not None
    ranked = prompt_holder.rank_homes(items, query.prefix)
    divisors = paced_load.compute_divisors(items, query.now_ms)
    for rank, item in enumerate(ranked):
        most = min(bound, _compute_max_load(item, mean))
        if item.load + 1 <= most / divisors.get(item.id, 1.0):
            reason = Reason.OVERFLOW if rank else Reason.PREFIX
            return _make_choice(item, reason, mean, items, query)
    best = min(ranked, key=lambda item: item.load)
    return _make_choice(best, Reason.LEAST_LOADED, mean, items, query)


def _has_little_room(
    items: typing.Sequence[endpoint_table.Endpoint],
    mean: float,
    query: Query,
) -> bool:
    """Tell whether routers together may exceed the bound before they know."""
    if not load_limit.is_bound_reduced(mean, query.service_mean_load):
        return False
    unseen = stale_load.estimate_unseen(
        items, query.rate_per_s, query.routers, query.now_ms
    )
    room = load_limit.compute_room(mean, query.service_mean_load)
    return room < UNSEEN_MULTIPLE * unseen + 1


def _spread(
    items: typing.Sequence[endpoint_table.Endpoint],
    mean: float,
    query: Query,
    rng: random.Random,
) -> Choice:
    """Choose at random, so that routers don't all choose the same one."""
    free = [
        item for item in items if item.load < _compute_max_load(item, mean)
    ]
    unseen = stale_load.estimate_unseen(
        items, query.rate_per_s, query.routers, query.now_ms
    )
    weights = paced_load.adjust_weights(
        free, stale_load.compute_weights(free, mean, unseen), query.now_ms
    )
    if sum(weights) <= 0:
        best = min(items, key=lambda item: item.load)
        return _make_choice(best, Reason.LEAST_LOADED, mean, items, query)
    (chosen,) = rng.choices(free, weights)
    return _make_choice(chosen, Reason.SPREAD, mean, items, query)


def _make_choice(
    endpoint: endpoint_table.Endpoint,
    reason: Reason,
    mean: float,
    items: typing.Sequence[endpoint_table.Endpoint],
    query: Query,
) -> Choice:
    return Choice(endpoint, reason, mean, len(items), query.service_mean_load)


def _compute_max_load(item: endpoint_table.Endpoint, mean: float) -> float:
    """Return the load up to which prompt affinity outweighs queueing.

    Prevents queueing at one endpoint while others have free slots.
    """
    slots = item.entry.slots
    return max(slots, mean + slots * FULL_QUEUE_SHARE)
