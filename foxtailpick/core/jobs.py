"""Ways to run a list of jobs that write to the store."""

import typing

import trio

from foxtailpick.core import errors

Job = typing.Callable[[], typing.Awaitable[None]]

MAX_TOGETHER = 256


async def run_in_turn(jobs: list[Job]) -> None:
    """Run one job after the other, up to the first error."""
    for job in jobs:
        await job()


async def run_together(jobs: list[Job]) -> None:
    """Run the first `MAX_TOGETHER` jobs at once; the rest is for later.

    :raises errors.StoreError: the first one raised, after all have ended.
    """
    failures: list[errors.StoreError] = []

    async def run(job: Job) -> None:
        try:
            await job()
        except errors.StoreError as exc:
            failures.append(exc)

    async with trio.open_nursery() as nursery:
        for job in jobs[:MAX_TOGETHER]:
            nursery.start_soon(run, job)
    if failures:
        raise failures[0]
