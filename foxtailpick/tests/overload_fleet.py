"""Loads of an overloaded service, and what its callers get."""

import collections
import dataclasses
import random

from foxtailpick.core.dispatch import model
from foxtailpick.tests import engine_model
from foxtailpick.tests import ordered_router

SERVICE = model.Service('engine', 0, 0.0, 0.0)
# Requests per second of the mix below that six engines serve in time.
ROOM_PER_S = 190
# A caller waits at most this part of its time before it comes again.
MAX_RETRY_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, as on the customers' sheets.

    :param weight: its part of the mix.
    """

    priority: int
    prompt_tokens: int
    tokens: int
    target_ms: float
    deadline_ms: float
    weight: float


KINDS = {
    'chat': Kind(0, 829, 290, 300, 10_000, 51),
    'plan': Kind(1, 11_812, 382, 620, 12_000, 41),
    'screen': Kind(2, 2_400, 23, 410, 2_500, 62),
}


def make_mix(
    rate_per_s,
    length_s,
    seed=1,
    account=None,
    start_s=0.0,
    spread=0.8,
    pick_router=lambda rng: rng.randrange(4),
    **fields,
):
    """Generate requests of all kinds, with log-normal sizes.

    :param account: their account, one of eight at random without it.
    :param spread: standard deviation of the logarithm of prompt lengths.
    """
    rng = random.Random(seed)
    runs = []
    at_ms = start_s * 1_000
    while at_ms < (start_s + length_s) * 1_000:
        at_ms += rng.expovariate(rate_per_s) * 1_000
        name = rng.choices(
            list(KINDS), [kind.weight for kind in KINDS.values()]
        )[0]
        kind = KINDS[name]
        size = rng.lognormvariate(-(spread**2) / 2, spread)
        values = {
            'prompt': f'{name}{int(300 * rng.random() ** 1.5)}',
            'prompt_tokens': round(kind.prompt_tokens * size),
            'tokens': max(
                2, round(kind.tokens * rng.lognormvariate(-0.2, 0.6))
            ),
            'priority': kind.priority,
            'kind': name,
            'target_ms': kind.target_ms,
            'deadline_ms': kind.deadline_ms,
            'account': account or f'a{rng.randrange(8)}',
            'router': pick_router(rng),
            'caller': (seed, len(runs)),
            **fields,
        }
        runs.append(engine_model.Run(arrived_ms=at_ms, **values))
    return runs


def come_again(run, now_ms):
    """Return the second request of a caller that does as it is told."""
    if run.first_arrived_ms is not None:
        return None
    left_ms = run.arrived_ms + run.deadline_ms - now_ms
    return repeat(run, now_ms, min(run.retry_ms, MAX_RETRY_SHARE * left_ms))


def repeat(run, now_ms, after_ms):
    """Return the request of a caller that comes again after some time."""
    first_ms = run.first_arrived_ms or run.arrived_ms
    left_ms = run.arrived_ms + run.deadline_ms - now_ms - after_ms
    if left_ms <= 0:
        return None
    return engine_model.Run(
        arrived_ms=now_ms + after_ms,
        first_arrived_ms=first_ms,
        deadline_ms=left_ms,
        **{
            name: getattr(run, name)
            for name in (
                'prompt',
                'prompt_tokens',
                'tokens',
                'kind',
                'target_ms',
                'account',
                'router',
                'caller',
            )
        },
        priority=KINDS[run.kind].priority if run.kind in KINDS else 2,
    )


def serve(make_router, runs, **fields):
    """Simulate a load; return all requests, also repeated ones."""
    simulation = engine_model.Simulation(
        SERVICE,
        make_router=make_router,
        **{'repeat': come_again, **fields},
    )
    return simulation.run(runs)


def compare(make_runs, **fields):
    """Return what callers get by the former order and by the present one."""
    return tuple(
        serve(make_router, make_runs(), **fields)
        for make_router in (
            engine_model.Router,
            ordered_router.OrderedRouter,
        )
    )


def compute_share(runs, is_served=lambda run: run.is_in_time):
    """Return the share of callers with at least one served request."""
    callers = collections.defaultdict(bool)
    for run in runs:
        callers[run.caller] |= is_served(run)
    return sum(callers.values()) / len(callers)


def compute_shares(runs, key, is_served=lambda run: run.is_in_time):
    """Return the share of callers that are served, by group.

    :param key: returns the group of a request.
    """
    groups = collections.defaultdict(list)
    for run in runs:
        groups[key(run)].append(run)
    return {
        group: compute_share(items, is_served)
        for group, items in sorted(groups.items())
    }


def is_done(run):
    """Tell whether a request was answered, in time or late."""
    return run.is_done
