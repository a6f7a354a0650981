"""Chooses the version that a request goes to during a roll-out.

Load pattern: 4 to 68 routers with few requests each share the requests that
the new version may get, and may restart or be cut off. Each router sends at
most a fixed part of its own requests there, with a random rounding, so that
the bound holds for their sum without an exchange. Chats stay at one version
while it has a part of the traffic. Few endpoints of the new version get this
part, so that each of them has about the load of an old one.
"""

import math
import random
import typing

import xxhash

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_capacity
from foxtailpick.core.dispatch import rollout_evidence
from foxtailpick.core.dispatch import rollout_exposure
from foxtailpick.core.dispatch import rollouts
from foxtailpick.core import ring
from foxtailpick.core import types

# Decay of the peak of the load with each observation.
PEAK_DECAY = 0.98
# From this step on, what is tolerated until the deadline may be used up.
FIRST_FREE_STEP = 2
# Endpoints of the new version that share the canary's requests at least.
MIN_CANARIES = 2
# A smaller share of the old version has no load to compare with.
MIN_OLD_SHARE = 0.05
# Load of a canary over the mean of the old endpoints, and slack.
CANARY_LOAD_MULTIPLE = 1.25
CANARY_LOAD_SLACK = 2.0


def observe_endpoints(
    rollout: rollouts.Rollout,
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    routers: int,
    now_ms: float,
) -> None:
    """Note the endpoints of both versions, before each decision.

    :param rollout: the roll-out.
    :param endpoints: endpoints of the service that accept new work.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    warm = [
        item
        for item in endpoints
        if rollout.is_new(item) and not item.is_cold(now_ms)
    ]
    rollout.routers = max(1, routers)
    if rollout.routers > 1:
        rollout.alone_since_ms = None
    elif rollout.alone_since_ms is None:
        rollout.alone_since_ms = now_ms
    rollout.capacity = rollout_capacity.Capacity(
        len(warm),
        sum(i.entry.slots for i in endpoints if not rollout.is_new(i)),
        sum(item.entry.slots for item in warm),
        max(
            sum(item.load for item in endpoints),
            rollout.capacity.load * PEAK_DECAY,
        ),
    )


def select_endpoints(
    rollout: rollouts.Rollout,
    endpoints: typing.Sequence[endpoint_table.Endpoint],
    key: str | None,
    now_ms: float,
    rng: random.Random,
    route: str = '',
    is_repeat: bool = False,
) -> list[endpoint_table.Endpoint]:
    """Return the endpoints that a request may go to.

    :param rollout: the roll-out.
    :param endpoints: endpoints of the service that accept new work.
    :param key: what keeps related requests at one version, if anything.
    :param now_ms: current time.
    :param rng: source of random numbers.
    :param route: the request's route.
    :param is_repeat: whether it was sent before, or no endpoint of an
        earlier selection could take it.
    """
    new = [item for item in endpoints if rollout.is_new(item)]
    old = [item for item in endpoints if not rollout.is_new(item)]
    if rollout.state is model.RolloutState.COMPLETED:
        return new
    if rollout.state is model.RolloutState.ROLLED_BACK or not new:
        return old
    step = rollouts.find_step(rollout, now_ms)
    is_moved = rollouts.get_share(rollout, step, route) >= 1
    if not old and rollout.doubt is None and not rollout.is_condemned:
        # A version without evidence against it serves rather than none.
        return new
    if rollout.is_leaving_old and not rollout.is_condemned:
        return new
    if is_repeat and not is_moved:
        return old
    if not _is_chosen(rollout, step, key, route, now_ms, rng):
        return old
    if is_moved:
        return new
    share = rollouts.get_share(rollout, step, route)
    return _list_canaries(rollout, new, old, share, now_ms) or old


def _is_chosen(
    rollout: rollouts.Rollout,
    step: int | None,
    key: str | None,
    route: str,
    now_ms: float,
    rng: random.Random,
) -> bool:
    """Tell whether a request goes to the new version."""
    if rollout.is_condemned or not rollouts.is_informed(rollout, now_ms):
        return False
    if now_ms >= rollout.deadline_ms:
        return False
    if step is None and rollout.has_failed_steps:
        # It can't be completed any more.
        return False
    exposure = rollout.exposure
    if exposure.rounding is None:
        exposure.rounding = rng.random()
    if exposure.sent_new + 1 > _compute_budget(rollout, step, now_ms):
        return False
    share = rollouts.get_share(rollout, step, route)
    if key is None:
        return rng.random() < share
    if step is None:
        # Where the keys of this share have too few requests, more keys.
        usual = rollouts.CANARY_PART * rollout.bounds.exposure_share
        lag = usual * exposure.sent
        share *= 1 + max(0.0, lag - exposure.sent_new - 1)
    return _hash_part(f'{rollout.order.id}\0{key}') < share


def _compute_budget(
    rollout: rollouts.Rollout, step: int | None, now_ms: float
) -> float:
    """Return how many requests the new version may have got by now."""
    bounds = rollout.bounds
    exposure = rollout.exposure
    requests: float = exposure.sent
    if step is not None and step >= FIRST_FREE_STEP:
        requests = rollout_exposure.estimate_requests(
            exposure, now_ms - rollout.began_ms, rollout.order.duration_ms
        )
    most = rollouts.BUDGET_PART * bounds.exposure_share * requests
    if step is not None and FIRST_FREE_STEP <= step < len(
        rollouts.STEP_SHARES
    ):
        # What is sent after the last step.
        part = rollouts.SETTLE_MS / rollout.order.duration_ms
        most -= rollouts.SETTLE_SHARE * part * requests
    return (
        (exposure.rounding or 0.0)
        + rollouts.SLACK_PART * bounds.exposure_slack / rollout.routers
        + most
    )


def _hash_part(text: str) -> float:
    return xxhash.xxh3_64_intdigest(text.encode()) / 2.0**64


def _list_canaries(
    rollout: rollouts.Rollout,
    new: typing.Sequence[endpoint_table.Endpoint],
    old: typing.Sequence[endpoint_table.Endpoint],
    share: float,
    now_ms: float,
) -> list[endpoint_table.Endpoint]:
    """Return new endpoints that get about the load of an old one each."""
    usable = {
        item.id: item
        for item in new
        if not item.is_cold(now_ms)
        and not item.announced.is_resting(now_ms)
        and not item.health.is_paused(now_ms)
        and not item.health.is_silent(now_ms)
    }
    ranked = ring.rank_by_rendezvous(
        rollout.order.id, dict.fromkeys(usable, 1.0)
    )
    # Different groups first, so that one bad endpoint shows as such.
    groups: set[int] = set()
    first = []
    for endpoint in ranked:
        group = rollout_evidence.find_group(types.EndpointId(endpoint))
        if group not in groups:
            groups.add(group)
            first.append(endpoint)
    ranked = [*first, *(item for item in ranked if item not in first)]
    # With this number, none has more load than an old one.
    equal = share * len(old) / max(MIN_OLD_SHARE, 1 - share)
    count = max(MIN_CANARIES, math.ceil(equal))
    canaries = [usable[types.EndpointId(item)] for item in ranked[:count]]
    if rollout.steps_began_ms is not None:
        return canaries
    mean = endpoint_table.compute_mean_load(old)
    most = CANARY_LOAD_MULTIPLE * mean + CANARY_LOAD_SLACK
    return [item for item in canaries if item.load + 1 <= most]
