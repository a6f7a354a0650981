"""Runs of trio in virtual time that are the same each time."""

import typing

import trio
import trio.testing

ResultT = typing.TypeVar('ResultT')


def run(
    main: typing.Callable[[], typing.Awaitable[ResultT]], seed: int
) -> ResultT:
    """Run a function in virtual time, jumping over all waits.

    Trio shuffles tasks that are ready at once; its generator has no public
    seed, so the private one is set, as pytest-trio does for hypothesis.

    :param main: async function without parameters.
    :param seed: seed of the order in which ready tasks run.
    :returns: what it returned.
    """
    scheduler = trio._core._run
    scheduler._r.seed(seed)
    was_allowed = scheduler._ALLOW_DETERMINISTIC_SCHEDULING
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, clock=clock)
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = was_allowed
