"""Sequential and concurrent execution of jobs that write to the store."""

import typing

import trio

from foxtailpick.core import errors

Job = typing.Callable[[], typing.Awaitable[None]]

MAX_CONCURRENT_JOBS = 256


async def run_sequentially(jobs: list[Job]) -> None:
    """Run the jobs one after the other, up to the first error."""
    for job in jobs:
        await job()


async def run_concurrently(jobs: list[Job]) -> None:
    """Run the first `MAX_CONCURRENT_JOBS` jobs concurrently.

    The other jobs are left to a later call.

    :raises errors.StoreError: the first error, after all jobs have ended.
    """
    failures: list[errors.StoreError] = []

    async def run(job: Job) -> None:
        try:
            await job()
        except errors.StoreError as exc:
            failures.append(exc)

    async with trio.open_nursery() as nursery:
        for job in jobs[:MAX_CONCURRENT_JOBS]:
            nursery.start_soon(run, job)
    if failures:
        raise failures[0]
