"""Long randomised runs: `python -m foxtailpick.bench.soak --seeds N`.

A scenario is a function that takes a seed and raises on a failure; the same
seed gives the same run.
"""

import sys
import typing

import defopt
from loguru import logger

from foxtailpick.bench import claims_scenario
from foxtailpick.bench import patches_scenario
from foxtailpick.soak import run as gateway_soak

Run = typing.Callable[[int], None]

# Add a line for each scenario: its name and its function of the seed.
SCENARIOS: dict[str, Run] = {
    'claims': claims_scenario.run,
    'patches': patches_scenario.run,
    'gateway': gateway_soak.run_seed,
}


def run_seeds(
    name: str, run: Run, seeds: typing.Iterable[int]
) -> list[tuple[int, Exception]]:
    """Run one scenario with several seeds.

    :param name: its name, for the messages.
    :param run: the scenario.
    :param seeds: the seeds.
    :returns: the seeds that failed, with their errors.
    """
    failures = []
    for seed in seeds:
        try:
            run(seed)
        except Exception as exc:
            print(f'FAILED {name} --seed {seed}: {exc!r}', flush=True)
            failures.append((seed, exc))
    return failures


def main(
    *,
    seeds: int = 200,
    seed: int | None = None,
    scenario: list[str] | None = None,
) -> int:
    """Run the scenarios.

    :param seeds: how many seeds each scenario runs with.
    :param seed: run with this one seed only.
    :param scenario: names of scenarios, all if none is given.
    :returns: exit status, 1 if a seed failed.
    """
    logger.remove()
    chosen = range(seeds) if seed is None else [seed]
    unknown = set(scenario or ()) - set(SCENARIOS)
    if unknown:
        print(f'expected one of {", ".join(SCENARIOS)}, got {unknown}')
        return 2
    failed = 0
    for name in scenario or SCENARIOS:
        failures = run_seeds(name, SCENARIOS[name], chosen)
        failed += len(failures)
        print(f'{name}: {len(chosen)} seeds, {len(failures)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
