"""Randomised runs of claims and attempts under faults, for the soak."""

import random
import typing

from foxtailpick.bench import claims_world
from foxtailpick import testing

STEPS_PER_RUN = 300
CHECK_EVERY_STEPS = 50
KEYS = ('k0', 'k1', 'k2', 'k3', 'k4')
BODIES = (b'x', b'x', b'x', b'y')
MAX_PICK = 1 << 16
FAULT_RATES = (0.0, 0.05, 0.3)


def run(seed: int) -> None:
    """Run claims and attempts under faults.

    :param seed: seed of all random choices.
    :raises AssertionError: if the history violates a rule, or results are
        still missing in the store at the end.
    """
    rng = random.Random(seed)
    world = claims_world.ClaimsWorld(3, rng.random() < 0.5)
    # The fault rate varies per run: at a high rate few calls progress far
    # enough to reach the rarer orders of events.
    fault_rate = rng.choice(FAULT_RATES)
    for step in range(STEPS_PER_RUN):
        _perform_random_step(world, rng, fault_rate)
        if step % CHECK_EVERY_STEPS == 0:
            testing.assert_calls(world.events)
    world.drain()
    testing.assert_calls(world.events)
    if world.count_pending():
        raise AssertionError(
            f'{world.count_pending()} keys still pending; expected none'
        )


def _perform_random_step(
    world: claims_world.ClaimsWorld, rng: random.Random, fault_rate: float
) -> None:
    pick = rng.randrange(MAX_PICK)
    outcome = claims_world.OpOutcome.DONE
    if rng.random() < fault_rate:
        outcome = rng.choice(list(claims_world.OpOutcome))
    is_fault = rng.random() < fault_rate
    steps: list[typing.Callable[[], object]] = [
        lambda: world.send(rng.choice(KEYS), rng.choice(BODIES), pick),
        lambda: world.deliver(pick, is_fault),
        lambda: world.deliver(pick, False),
        lambda: world.step(pick, outcome),
        lambda: world.step(pick, outcome),
        lambda: world.step(pick, outcome),
        lambda: world.query(pick),
        lambda: world.flush_pending(pick),
        lambda: world.apply_delayed(pick),
        lambda: world.clock.advance(rng.choice((10.0, 1_000.0, 4_000.0))),
    ]
    faults: list[typing.Callable[[], object]] = [
        lambda: world.crash(pick, rng.choice(list(claims_world.OpOutcome))),
        lambda: world.cancel(pick, rng.choice(list(claims_world.OpOutcome))),
        world.state.take_down,
        world.state.bring_up,
    ]
    is_rare = rng.random() < fault_rate
    rng.choice(faults if is_rare and is_fault else steps)()
