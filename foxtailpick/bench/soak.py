"""Long randomised runs: `python -m foxtailpick.bench.soak --seeds N`.

A scenario is a function that takes a seed and raises an exception on failure.
Runs with the same seed are identical.
"""

import sys
import typing

import defopt
from loguru import logger

from foxtailpick.bench import claims_scenario
from foxtailpick.bench import patches_scenario
from foxtailpick.soak import run as gateway_soak

Scenario = typing.Callable[[int], None]

# Scenario name, as given on the command line, to its function.
SCENARIOS: dict[str, Scenario] = {
    'claims': claims_scenario.run,
    'patches': patches_scenario.run,
    'gateway': gateway_soak.run_seed,
    'long-streams': gateway_soak.run_long_streams,
    'held-up-stops': gateway_soak.run_held_up_stops,
    'limits': gateway_soak.run_limits,
    'silence': gateway_soak.run_silence,
    'large-silence': gateway_soak.run_large_silence,
    'versions': gateway_soak.run_versions,
    'large-versions': gateway_soak.run_large_versions,
    'departures': gateway_soak.run_departures,
    'large-departures': gateway_soak.run_large_departures,
}


def run_seeds(
    name: str, run: Scenario, seeds: typing.Iterable[int]
) -> list[tuple[int, Exception]]:
    """Run one scenario with several seeds.

    :param name: scenario name for the messages.
    :param run: scenario function.
    :param seeds: seeds to run with.
    :returns: failed seeds with their exceptions.
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

    :param seeds: number of seeds per scenario.
    :param seed: run only this seed.
    :param scenario: names of the scenarios to run, default all.
    :returns: exit status: 1 if a seed failed, 2 for an unknown scenario.
    """
    logger.remove()
    selected = range(seeds) if seed is None else [seed]
    unknown = set(scenario or ()) - set(SCENARIOS)
    if unknown:
        print(f'expected one of {", ".join(SCENARIOS)}, got {unknown}')
        return 2
    failed = 0
    for name in scenario or SCENARIOS:
        failures = run_seeds(name, SCENARIOS[name], selected)
        failed += len(failures)
        print(f'{name}: {len(selected)} seeds, {len(failures)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
