"""Simulated engine with continuous batching, in virtual time."""

import dataclasses
import typing

from foxtailpick.core import account_queue
from foxtailpick.core import types

STEP_MS = 20.0
STEP_PER_REQUEST_MS = 0.1
PREFILL_PER_TOKEN_MS = 0.05
CHUNK_TOKENS = 512
RECOMPUTE_TOKENS = 32


class Scheduler(typing.Protocol):
    """Queue interface that the simulated engine uses."""

    def enqueue(
        self, entry: account_queue.QueueEntry, now_ms: float
    ) -> typing.Sequence[typing.Any]:
        """Add a request."""

    def pop_next(self, now_ms: float) -> account_queue.QueueEntry | None:
        """Remove and return the next request to start."""

    def record_generated(
        self, attempt: types.AttemptId, tokens: float, now_ms: float
    ) -> None:
        """Record generated tokens."""

    def finish(self, attempt: types.AttemptId) -> None:
        """Record the end of a request."""


@dataclasses.dataclass(slots=True)
class Job:
    """A request at the engine.

    :param entry: queue entry.
    :param generate_tokens: actual number of tokens to generate.
    :param arrived_ms: time of arrival.
    :param prompt_left: remaining prompt tokens to prefill.
    :param recompute_left: tokens to prefill again after a pause.
    :param generated: tokens generated so far.
    """

    entry: account_queue.QueueEntry
    generate_tokens: int
    arrived_ms: float
    prompt_left: float
    recompute_left: float = 0.0
    generated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StepWork:
    """Work done for one request in one step.

    :param job: the request.
    :param at_ms: end of the step.
    :param tokens: prompt tokens processed plus tokens generated.
    :param generated: tokens generated, zero or one.
    """

    job: Job
    at_ms: float
    tokens: float
    generated: int

    @property
    def is_first_token(self) -> bool:
        """Whether this step generated the first token of the request."""
        return self.generated == self.job.generated == 1


class BatchingEngine:
    """Engine with chunked prefill and one token per request and step.

    :param scheduler: queue of waiting requests.
    :param limit: maximum number of requests in flight.
    :param is_pausing: whether running requests are paused in favour of
        others.
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
        """Add a request to the queue.

        :returns: requests that the queue rejects.
        """
        self.jobs[job.entry.attempt] = job
        return self.scheduler.enqueue(job.entry, self.now_ms)

    def admit(self) -> list[Job]:
        """Start waiting requests up to the limit; may pause running ones.

        :returns: requests that were started or resumed.
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
        self.running.pop(attempt).recompute_left += RECOMPUTE_TOKENS
        self.pauses += 1
        return True

    def step(self) -> list[StepWork]:
        """Run one step.

        :returns: work done per request.
        """
        chunk = CHUNK_TOKENS
        work: list[tuple[Job, float, int]] = []
        for job in self.running.values():
            recomputed = min(job.recompute_left, chunk)
            job.recompute_left -= recomputed
            prefilled = min(job.prompt_left, chunk - recomputed)
            job.prompt_left -= prefilled
            chunk -= prefilled + recomputed
            generated = int(job.prompt_left + job.recompute_left <= 0)
            job.generated += generated
            work.append((job, prefilled + generated, generated))
        self.now_ms += (
            STEP_MS
            + STEP_PER_REQUEST_MS * len(self.running)
            + PREFILL_PER_TOKEN_MS * (CHUNK_TOKENS - chunk)
        )
        served = [
            StepWork(job, self.now_ms, tokens, generated)
            for job, tokens, generated in work
        ]
        for item in served:
            if item.generated:
                self._record_token(item.job)
        return served

    def _record_token(self, job: Job) -> None:
        attempt = job.entry.attempt
        self.scheduler.record_generated(attempt, 1.0, self.now_ms)
        if job.generated >= job.generate_tokens:
            self.scheduler.finish(attempt)
            del self.running[attempt]
            del self.jobs[attempt]
