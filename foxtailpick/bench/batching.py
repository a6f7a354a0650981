"""A small fake of an engine that batches continuously, in virtual time."""

import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import types

STEP_MS = 20.0
STEP_PER_REQUEST_MS = 0.1
PREFILL_PER_TOKEN_MS = 0.05
CHUNK_TOKENS = 512


class Scheduler(typing.Protocol):
    """What the bench needs of a queue."""

    def enqueue(
        self, entry: account_queue.QueueEntry, now_ms: float
    ) -> typing.Sequence[typing.Any]:
        """Add a request."""

    def pop_next(self, now_ms: float) -> account_queue.QueueEntry | None:
        """Take the request that starts next."""

    def record_generated(
        self, attempt: types.AttemptId, tokens: float, now_ms: float
    ) -> None:
        """Note generated tokens."""

    def finish(self, attempt: types.AttemptId) -> None:
        """Note the end of a request."""


@dataclasses.dataclass(slots=True)
class Job:
    """A request inside the engine.

    :param entry: the request.
    :param generate_tokens: tokens that it will generate in truth.
    :param arrived_ms: when the caller sent it.
    :param prompt_left: prompt tokens still to be read.
    :param generated: tokens generated so far.
    """

    entry: account_queue.QueueEntry
    generate_tokens: int
    arrived_ms: float
    prompt_left: float
    generated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Work done for one request in one step.

    :param job: the request.
    :param at_ms: end of the step.
    :param tokens: prompt tokens read and tokens generated.
    """

    job: Job
    at_ms: float
    tokens: float


class BatchingEngine:
    """Reads prompts in chunks and generates one token a request and step.

    :param scheduler: the queue in front of it.
    :param limit: requests in flight at most.
    """

    def __init__(self, scheduler: Scheduler, limit: int) -> None:
        self.scheduler = scheduler
        self.limit = limit
        self.now_ms = 0.0
        self.jobs: dict[types.AttemptId, Job] = {}
        self.running: dict[types.AttemptId, Job] = {}

    def submit(self, job: Job) -> None:
        """Hand a request to the queue."""
        self.jobs[job.entry.attempt] = job
        self.scheduler.enqueue(job.entry, self.now_ms)

    def admit(self) -> None:
        """Start waiting requests up to the limit."""
        while len(self.running) < self.limit:
            entry = self.scheduler.pop_next(self.now_ms)
            if entry is None:
                return
            self.running[entry.attempt] = self.jobs[entry.attempt]

    def pause(self, attempt: types.AttemptId) -> None:
        """Take a request out of the batch; its tokens stay cached."""
        del self.running[attempt]

    def step(self) -> list[Served]:
        """Run one step.

        :returns: the work done, by request.
        """
        chunk = CHUNK_TOKENS
        done: list[tuple[Job, float]] = []
        for job in self.running.values():
            read = min(job.prompt_left, chunk)
            chunk -= read
            job.prompt_left -= read
            if job.prompt_left > 0:
                done.append((job, read))
                continue
            job.generated += 1
            done.append((job, read + 1))
        self.now_ms += (
            STEP_MS
            + STEP_PER_REQUEST_MS * len(self.running)
            + PREFILL_PER_TOKEN_MS * (CHUNK_TOKENS - chunk)
        )
        self._report(done)
        return [Served(job, self.now_ms, tokens) for job, tokens in done]

    def _report(self, done: list[tuple[Job, float]]) -> None:
        for job, _ in done:
            attempt = job.entry.attempt
            if not job.generated:
                continue
            self.scheduler.record_generated(attempt, 1.0, self.now_ms)
            if job.generated >= job.generate_tokens:
                self.scheduler.finish(attempt)
                del self.running[attempt]
                del self.jobs[attempt]
