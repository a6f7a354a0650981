"""Runs the attempts of one request, of which several may be in flight."""

import dataclasses
import math

import trio

from foxtailpick.core.dispatch import hedging
from foxtailpick.core.dispatch import placing
from foxtailpick.core.dispatch import retry_decision
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import attempt as attempt_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import rollout_path


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """A task that executes one attempt.

    :param choice: the endpoint of the attempt.
    :param started_ms: when it started.
    :param scope: cancel scope of the task.
    :param is_sent: whether the request was sent.
    :param begun_ms: when its stream began, None before that.
    :param is_silent: whether the endpoint sends nothing for too long.
    :param is_late: whether another endpoint has to be asked soon for the
        request to be answered in time.
    :param is_replaced: whether another attempt answers instead.
    :param recheck_ms: time before which its silence is not reported again.
    :param decision: the latest decision on hedging the request, if any.
    :param rollout_send: what the roll-out of its service counts, if any.
    """

    choice: placing.Choice
    started_ms: float
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    is_sent: bool = False
    begun_ms: float | None = None
    is_silent: bool = False
    is_late: bool = False
    is_replaced: bool = False
    recheck_ms: float = -math.inf
    decision: hedging.HedgeDecision | None = None
    rollout_send: rollout_path.Send | None = None


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
        # None reports that a stream has begun.
        self._send, self._receive = trio.open_memory_channel[
            Ended | Runner | None
        ](math.inf)
        self.runners: set[Runner] = set()

    @property
    def is_each_silent(self) -> bool:
        """Whether all attempts in flight are silent, or late."""
        return all(
            runner.is_silent or runner.is_late for runner in self.runners
        )

    def start(self, choice: placing.Choice) -> None:
        """Start an attempt at an endpoint.

        Its share of the endpoint is taken at once: requests that are placed
        in the same step share its limits.
        """
        runner = Runner(choice, self._gw.now_ms())
        self.runners.add(runner)
        self._job.tried.add(choice.endpoint.id)
        attempt_lib.reserve(
            choice.endpoint, self._job.work.memory_tokens, runner.started_ms
        )
        runner.rollout_send = rollout_path.record_start(
            self._gw, self._job, choice.endpoint
        )
        rate = self._gw.get_placement_rate(self._job.service.name)
        rate.record(runner.started_ms)
        self._nursery.start_soon(self._run, runner)

    async def next_event(self) -> Ended | Runner:
        """Return the end of an attempt, or an attempt that is silent.

        Meanwhile, a stream that two endpoints have begun is given to the
        second one.
        """
        while True:
            with trio.move_on_after(self._compute_handover_s()) as scope:
                event = await self._receive.receive()
                if event is not None:
                    return event
            begun = self._list_begun()
            if scope.cancelled_caught and len(begun) > 1:
                self._claim(begun[-1], True)

    def _compute_handover_s(self) -> float:
        """Return the time until a stream is handed over, in seconds."""
        begun = self._list_begun()
        if len(begun) < 2:
            return math.inf
        assert begun[-1].begun_ms is not None
        left_ms = begun[-1].begun_ms + hedging.HANDOVER_MS - self._gw.now_ms()
        return max(0.0, left_ms) / types.SECOND_MS

    def _list_begun(self) -> list[Runner]:
        """Return the attempts whose stream has begun, the latest one last."""
        if len(self.runners) < 2:
            return []
        begun = (item for item in self.runners if item.begun_ms is not None)
        return sorted(begun, key=lambda item: item.begun_ms)

    async def _run(self, runner: Runner) -> None:
        job = self._job
        result: attempt_lib.AttemptResult | Exception | None = None
        try:
            with runner.scope:
                result = await attempt_lib.run_attempt(
                    self._gw,
                    job,
                    runner.choice,
                    self._reply,
                    self._make_hooks(runner),
                )
        except Exception as exc:
            # Raised by the task that waits for the attempt.
            result = exc
        finally:
            # Runs also if the request is cancelled.
            attempt_lib.release(runner.choice.endpoint, job.work.memory_tokens)
            self.runners.discard(runner)
            self._record_rollout(runner, result)
            if isinstance(result, attempt_lib.AttemptResult):
                attempt_verdict = retry_decision.get_verdict(result.end)
            elif runner.is_sent:
                attempt_verdict = verdict_lib.Verdict.MAY_HAVE_RUN
            else:
                attempt_verdict = verdict_lib.Verdict.NOT_RUN
            job.verdict = verdict_lib.merge_verdicts(
                job.verdict, attempt_verdict
            )
        if result is not None and not runner.is_replaced:
            self._send.send_nowait(Ended(runner, result))

    def _record_rollout(
        self,
        runner: Runner,
        result: attempt_lib.AttemptResult | Exception | None,
    ) -> None:
        if runner.rollout_send is None:
            return
        end = rollout_path.End(
            is_sent=runner.is_sent,
            is_silent=runner.is_silent,
            answered_ms=runner.begun_ms,
        )
        if isinstance(result, attempt_lib.AttemptResult):
            end.kind = result.end
            end.answered_ms = result.answered_ms
            if result.response is not None:
                end.status = result.response.status
        rollout_path.record_end(self._gw, self._job, runner.rollout_send, end)

    def _make_hooks(self, runner: Runner) -> context.GroupHooks:
        def report_sent() -> None:
            runner.is_sent = True

        def report_begun() -> None:
            runner.begun_ms = self._gw.now_ms()
            if len(self.runners) > 1:
                self._send.send_nowait(None)

        return context.GroupHooks(
            report_sent=report_sent,
            report_begun=report_begun,
            report_silence=lambda is_silent: self._report_silence(
                runner, is_silent
            ),
            report_late=lambda: self._report_late(runner),
            claim=lambda is_answer: self._claim(runner, is_answer),
        )

    def _report_silence(self, runner: Runner, is_silent: bool) -> None:
        runner.is_silent = is_silent
        now_ms = self._gw.now_ms()
        if is_silent and now_ms >= runner.recheck_ms:
            runner.recheck_ms = now_ms + hedging.RECHECK_INTERVAL_MS
            self._send.send_nowait(runner)

    def _report_late(self, runner: Runner) -> None:
        runner.is_late = True
        self._send.send_nowait(runner)

    def _claim(self, runner: Runner, is_answer: bool) -> bool:
        """Give the response to an attempt, and cancel the other ones.

        :param runner: the attempt.
        :param is_answer: whether it has received a usable part of an answer;
            otherwise the others go on.
        :returns: False if another attempt has the response.
        """
        if runner.is_replaced:
            return False
        if is_answer and len(self.runners) > 1:
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
        if other.is_silent and not endpoint.pace.is_slow(now_ms):
            attempt_lib.record_failure(
                gw,
                endpoint,
                'silent while another endpoint answered',
                endpoint.health.is_silent(now_ms),
            )
