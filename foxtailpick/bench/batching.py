"""A small fake of an engine that batches continuously, in virtual time."""

import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import types

STEP_MS = 20.0
STEP_PER_REQUEST_MS = 0.1
PREFILL_PER_TOKEN_MS = 0.05
CHUNK_TOKENS = 512
RESUME_TOKENS = 32


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
    :param reread_left: tokens to be read again after a pause.
    :param generated: tokens generated so far.
    """

    entry: account_queue.QueueEntry
    generate_tokens: int
    arrived_ms: float
    prompt_left: float
    reread_left: float = 0.0
    generated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """Work done for one request in one step.

    :param job: the request.
    :param at_ms: end of the step.
    :param tokens: prompt tokens read and tokens generated.
    :param generated: tokens generated, none or one.
    """

    job: Job
    at_ms: float
    tokens: float
    generated: int

    @property
    def is_first_token(self) -> bool:
        """Tell whether this step gave the request's first token."""
        return self.generated == self.job.generated == 1


class BatchingEngine:
    """Reads prompts in chunks and generates one token a request and step.

    :param scheduler: the queue in front of it.
    :param limit: requests in flight at most.
    :param is_pausing: whether requests are paused for others.
    """

    def __init__(
        self, scheduler: Scheduler, limit: int, is_pausing: bool = False
    ) -> None:
        self.scheduler = scheduler
        self.limit = limit
        self.now_ms = 0.0
        self.jobs: dict[types.AttemptId, Job] = {}
        self.running: dict[types.AttemptId, Job] = {}
        self.is_pausing = is_pausing
        self.pauses = 0

    def submit(self, job: Job) -> typing.Sequence[typing.Any]:
        """Hand a request to the queue.

        :returns: what the queue refuses.
        """
        self.jobs[job.entry.attempt] = job
        return self.scheduler.enqueue(job.entry, self.now_ms)

    def admit(self) -> list[Job]:
        """Start waiting requests up to the limit, after pausing others.

        :returns: the requests that were started or resumed.
        """
        started = []
        while len(self.running) < self.limit or self._pause():
            entry = self.scheduler.pop_next(self.now_ms)
            if entry is None:
                break
            job = self.jobs[entry.attempt]
            self.running[entry.attempt] = job
            started.append(job)
        return started

    def _pause(self) -> bool:
        if not self.is_pausing:
            return False
        attempt = self.scheduler.plan_pause(self.limit, self.now_ms)
        if attempt is None:
            return False
        self.scheduler.pause(attempt)
        self.running.pop(attempt).reread_left += RESUME_TOKENS
        self.pauses += 1
        return True

    def step(self) -> list[Served]:
        """Run one step.

        :returns: the work done, by request.
        """
        chunk = CHUNK_TOKENS
        done: list[tuple[Job, float, int]] = []
        for job in self.running.values():
            reread = min(job.reread_left, chunk)
            job.reread_left -= reread
            read = min(job.prompt_left, chunk - reread)
            job.prompt_left -= read
            chunk -= read + reread
            generated = int(job.prompt_left + job.reread_left <= 0)
            job.generated += generated
            done.append((job, read + generated, generated))
        self.now_ms += (
            STEP_MS
            + STEP_PER_REQUEST_MS * len(self.running)
            + PREFILL_PER_TOKEN_MS * (CHUNK_TOKENS - chunk)
        )
        served = [
            Served(job, self.now_ms, tokens, generated)
            for job, tokens, generated in done
        ]
        for one in served:
            if one.generated:
                self._report(one.job)
        return served

    def _report(self, job: Job) -> None:
        attempt = job.entry.attempt
        self.scheduler.record_generated(attempt, 1.0, self.now_ms)
        if job.generated >= job.generate_tokens:
            self.scheduler.finish(attempt)
            del self.running[attempt]
            del self.jobs[attempt]
