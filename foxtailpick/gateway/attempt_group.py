"""Runs the attempts of one request, of which several may be in flight."""

import dataclasses
import math

import trio

from foxtailpick.core.dispatch import hedging
from foxtailpick.core.dispatch import placing
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import reply as reply_lib


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """A task that executes one attempt.

    :param choice: the endpoint of the attempt.
    :param started_ms: when it started.
    :param scope: cancel scope of the task.
    :param is_silent: whether the endpoint sends nothing for too long.
    :param is_replaced: whether another attempt answers instead.
    :param recheck_ms: time before which its silence is not reported again.
    :param decision: the latest decision on hedging the request, if any.
    """

    choice: placing.Choice
    started_ms: float
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_silent: bool = False
    is_replaced: bool = False
    recheck_ms: float = -math.inf
    decision: hedging.HedgeDecision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The end of an attempt.

    :param runner: the task that executed it.
    :param result: its outcome, or the exception that ended it.
    """

    runner: Runner
    result: attempt_lib.AttemptResult | Exception


class AttemptGroup:
    """The attempts of one request that are in flight.

    :param gw: the gateway.
    :param job: the request.
    :param reply: writer of the response to the caller.
    :param nursery: runs the attempts.
    """

    def __init__(
        self,
        gw: context.Gateway,
        job: job_lib.Job,
        reply: reply_lib.Reply,
        nursery: trio.Nursery,
    ) -> None:
        self._gw = gw
        self._job = job
        self._reply = reply
        self._nursery = nursery
        self._send, self._receive = trio.open_memory_channel[Ended | Runner](
            math.inf
        )
        self.runners: set[Runner] = set()

    @property
    def is_each_silent(self) -> bool:
        """Whether all attempts in flight are silent."""
        return all(runner.is_silent for runner in self.runners)

    def start(self, choice: placing.Choice) -> None:
        """Start an attempt at an endpoint."""
        runner = Runner(choice, self._gw.now_ms())
        self.runners.add(runner)
        self._job.tried.add(choice.endpoint.id)
        self._nursery.start_soon(self._run, runner)

    async def next_event(self) -> Ended | Runner:
        """Return the end of an attempt, or an attempt that is silent."""
        return await self._receive.receive()

    async def _run(self, runner: Runner) -> None:
        sends_before = self._job.sends
        result: attempt_lib.AttemptResult | Exception
        with runner.scope:
            try:
                result = await attempt_lib.run_attempt(
                    self._gw,
                    self._job,
                    runner.choice,
                    self._reply,
                    attempt_lib.GroupHooks(
                        claim=lambda: self._claim(runner),
                        report_silence=lambda is_silent: self._report_silence(
                            runner, is_silent
                        ),
                    ),
                )
            except trio.Cancelled:
                if self._job.sends > sends_before:
                    self._job.verdict = verdict_lib.merge_verdicts(
                        self._job.verdict, verdict_lib.Verdict.MAY_HAVE_RUN
                    )
                raise
            except Exception as exc:
                # Raised by the task that waits for the attempt.
                result = exc
        self.runners.discard(runner)
        if not runner.is_replaced:
            self._send.send_nowait(Ended(runner, result))

    def _report_silence(self, runner: Runner, is_silent: bool) -> None:
        runner.is_silent = is_silent
        now_ms = self._gw.now_ms()
        if is_silent and now_ms >= runner.recheck_ms:
            runner.recheck_ms = now_ms + hedging.RECHECK_INTERVAL_MS
            self._send.send_nowait(runner)

    def _claim(self, runner: Runner) -> bool:
        """Give the response to an attempt, and cancel the other ones.

        :param runner: the attempt, which has received a part of an answer.
        :returns: False if another attempt has it.
        """
        if runner.is_replaced:
            return False
        if len(self.runners) > 1:
            for other in self.runners - {runner}:
                self._replace(other, runner)
        return True

    def _replace(self, other: Runner, runner: Runner) -> None:
        gw = self._gw
        endpoint = other.choice.endpoint
        now_ms = gw.now_ms()
        other.is_replaced = True
        other.scope.cancel()
        self.runners.discard(other)
        gw.metrics.count('attempts_replaced')
        gw.log.emit_request(
            'attempt-replaced',
            request=self._job.meta.id,
            endpoint=endpoint.id,
            by=runner.choice.endpoint.id,
            silent=other.is_silent,
            ms_taken=round(now_ms - other.started_ms, 1),
        )
        if other.is_silent:
            attempt_lib.record_failure(
                gw,
                endpoint,
                'silent while another endpoint answered',
                endpoint.health.is_silent(now_ms),
            )
