"""Sequential and concurrent execution of jobs that write to the store."""

import typing

import trio

from foxtailpick.core import errors

Job = typing.Callable[[], typing.Awaitable[None]]

MAX_TOGETHER = 256


async def run_in_turn(jobs: list[Job]) -> None:
    """Run the jobs one after the other, up to the first error."""
    for job in jobs:
        await job()


async def run_together(jobs: list[Job]) -> None:
    """Run the first `MAX_TOGETHER` jobs concurrently and ignore the rest.

    The caller runs the remaining jobs in a later round.

    :raises errors.StoreError: the first error, after all jobs have ended.
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
