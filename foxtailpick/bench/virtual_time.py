"""Deterministic trio runs in virtual time."""

import typing

import trio
import trio.testing

ResultT = typing.TypeVar('ResultT')


def run(
    main: typing.Callable[[], typing.Awaitable[ResultT]], seed: int
) -> ResultT:
    """Run an async function in virtual time that skips all waits.

    Trio shuffles tasks that are ready at the same time. Its generator has no
    public seed, so the private one is set, as pytest-trio does for
    Hypothesis.

    :param main: async function without parameters.
    :param seed: seed of the order in which ready tasks run.
    :returns: result of the function.
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
