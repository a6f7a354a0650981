"""Runs admitted attempts at the endpoint."""

import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import attempts as attempts_lib
from foxtailpick.core import chat_request
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.sidecar import gate as gate_lib
from foxtailpick.sidecar import once as once_lib
from foxtailpick.sidecar import pool_load
from foxtailpick.sidecar import runs
from foxtailpick.sidecar import work as work_lib

SWEEP_INTERVAL_MS = 50.0
BUFFER_POLL_INTERVAL_MS = 20.0
FINAL_SEND_TIMEOUT_MS = 500.0
RUN_RETENTION_MS = 30_000.0
DEFAULT_CONTENT_TYPE = 'application/octet-stream'


class Worker:
    """Owns the tasks that send requests to the endpoint.

    :param gate: admission control of the endpoint.
    :param cfg: limits on buffers and waiting times.
    :param engine: the model engine, None for a plain service.
    :param service: the plain service, None for a model engine.
    :param once: runs non-idempotent calls of the service.
    """

    def __init__(
        self,
        gate: gate_lib.Gate,
        cfg: settings.LimitSettings,
        engine: base.Engine | None,
        service: base.PlainService | None,
        once: once_lib.AtMostOnceRunner | None = None,
    ) -> None:
        self.gate = gate
        self.table = runs.RunTable(cfg.replay, RUN_RETENTION_MS)
        self.engine = engine
        self._service = service
        self._once = once
        self._resume_grace_ms = cfg.resume_grace
        self._clock = clock_lib.Clock.from_trio()
        self._wake = trio.Event()
        self.state_changed = trio.Event()
        self._published_state: types.EndpointState | None = None

    async def run(self) -> None:
        """Start attempts as slots become free, until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._once is not None:
                nursery.start_soon(self._once.run_commits)
            while True:
                self._end_overdue()
                self._start_ready(nursery)
                self._pause_for_share()
                self.table.drop_expired(self._clock.now())
                self._publish_state()
                with trio.move_on_after(SWEEP_INTERVAL_MS / types.SECOND_MS):
                    await self._wake.wait()
                self._wake = trio.Event()

    def wake(self) -> None:
        """Trigger the scheduling loop without waiting for the next sweep."""
        self._wake.set()

    def submit(
        self, work: work_lib.Work, sent_after_ms: float
    ) -> runs.Run | None:
        """Admit an attempt and create its run.

        :param work: the message that opened the attempt.
        :param sent_after_ms: earliest time at which it can have been sent.
        :returns: its run, None for a duplicate whose run has expired.
        :raises errors.RefusedError: if the attempt will not run.
        """
        now_ms = self._clock.now()
        result = self.gate.admit(work, sent_after_ms, now_ms)
        if result is attempts_lib.OpenResult.DUPLICATE:
            return self.table.find(work.attempt)
        self._wake.set()
        return self.table.add(work, now_ms)

    def cancel(self, attempt: types.AttemptId) -> None:
        """Cancel an attempt; a plain call that runs is not interrupted."""
        run = self.table.find(attempt)
        if run is None or run.end is not None:
            return
        now_ms = self._clock.now()
        if self.gate.cancel_waiting(attempt, now_ms):
            run.close(self._make_failed(run, _make_cancelled_error()), now_ms)
            return
        if self.gate.cancel_paused(attempt, now_ms):
            exc = _make_cancelled_error(verdict_lib.Verdict.MAY_HAVE_RUN)
            run.close(self._make_failed(run, exc), now_ms)
            return
        if isinstance(run.work, messages.OpenChat):
            run.is_pausing = False
            run.scope.cancel()

    async def shut_down(self, limit_ms: float) -> None:
        """Drain the endpoint and wait until all answers have been sent.

        Attempts left after the time limit fail as `MAY_HAVE_RUN`.

        :param limit_ms: longest wait.
        """
        self.gate.slow_start.drain()
        with trio.move_on_after(limit_ms / types.SECOND_MS):
            while not self.table.is_drained():
                await clock_lib.sleep_ms(SWEEP_INTERVAL_MS)
        if self._once is not None:
            await self._once.flush()
        now_ms = self._clock.now()
        for run in self.table.list_open():
            run.close(self._make_failed(run, _make_shutdown_error()), now_ms)
        with trio.move_on_after(FINAL_SEND_TIMEOUT_MS / types.SECOND_MS):
            while not self.table.is_drained():
                await clock_lib.sleep_ms(SWEEP_INTERVAL_MS)

    def _publish_state(self) -> None:
        if self.gate.slow_start.state is self._published_state:
            return
        self._published_state = self.gate.slow_start.state
        logger.info('WORK endpoint is {}.', self._published_state.value)
        self.state_changed.set()
        self.state_changed = trio.Event()

    def _end_overdue(self) -> None:
        now_ms = self._clock.now()
        for work, exc in self.gate.sweep(now_ms):
            run = self.table.find(work.attempt)
            if run is not None:
                run.close(self._make_failed(run, exc), now_ms)
        for run in self.table.list_open():
            is_being_sent = run.sender_scope is not None
            if (
                not is_being_sent
                and now_ms - run.detached_ms > self._resume_grace_ms
            ):
                self.cancel(run.work.attempt)

    def _start_ready(self, nursery: trio.Nursery) -> None:
        while started := self.gate.pop_ready(self._clock.now()):
            run = self.table.find(started.work.attempt)
            if isinstance(started.work, messages.OpenChat):
                run_attempt = self._run_chat
            elif work_lib.needs_claim(started.work):
                run_attempt = self._run_once
            else:
                run_attempt = self._run_call
            nursery.start_soon(self._run_isolated, run_attempt, run, started)

    def _pause_for_share(self) -> None:
        if any(run.is_pausing for run in self.table.list_open()):
            return
        attempt = self.gate.plan_pause(self._clock.now())
        if attempt is not None:
            run = self.table.find(attempt)
            run.is_pausing = True
            run.scope.cancel()

    def _on_paused(
        self, run: runs.Run, started: gate_lib.StartedAttempt
    ) -> None:
        run.is_pausing = False
        run.scope = trio.CancelScope()
        self.gate.pause(started)
        self._wake.set()

    async def _run_isolated(
        self,
        run_attempt: typing.Callable[
            [runs.Run, gate_lib.StartedAttempt], typing.Awaitable[None]
        ],
        run: runs.Run,
        started: gate_lib.StartedAttempt,
    ) -> None:
        """Run an attempt so that an unexpected error fails only this one."""
        try:
            await run_attempt(run, started)
        except errors.InvariantError:
            raise
        except Exception:
            logger.exception('WORK attempt {} failed.', run.work.attempt)
            end = self._make_failed(run, _make_internal_error())
            if work_lib.needs_claim(run.work):
                self.gate.release(started, True, self._clock.now())
                self._close(run, end, self._clock.now())
                return
            verdict = verdict_lib.Verdict.MAY_HAVE_RUN
            self._finish(run, started, verdict, end, is_fault=True)

    async def _run_chat(
        self, run: runs.Run, started: gate_lib.StartedAttempt
    ) -> None:
        end: runs.End | None = None
        failure: errors.FoxtailError | None = None
        try:
            with run.scope:
                end = await self._stream_chat(run, started)
        except errors.FoxtailError as exc:
            failure = exc
        if end is None and failure is None and run.is_pausing:
            self._on_paused(run, started)
            return
        run.is_pausing = False
        if end is not None:
            self._finish(run, started, verdict_lib.Verdict.RAN, end)
            return
        is_fault = failure is not None
        exc = failure or _make_cancelled_error(
            verdict_lib.Verdict.MAY_HAVE_RUN
        )
        if run.buffer.next_number and is_fault:
            exc = errors.RequestError(
                exc.code, exc.message, verdict_lib.Verdict.MAY_HAVE_RUN
            )
        end = self._make_failed(run, exc)
        self._finish(run, started, exc.verdict, end, is_fault)

    async def _stream_chat(
        self, run: runs.Run, started: gate_lib.StartedAttempt
    ) -> messages.Finished:
        call = _make_chat_call(run)
        last: base.TokenChunk | None = None
        async with self.engine.stream_chat(call) as chunks:
            # Reads to the end marker, so that the connection is reused.
            async for chunk in chunks:
                if chunk.text:
                    await self._buffer_chunk(run, started, chunk)
                if chunk.finish_reason is not None:
                    last = chunk
        if last is not None:
            return self._finish_stream(run, started, last)
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            'expected a final chunk from the engine, got none; resume',
            verdict_lib.Verdict.MAY_HAVE_RUN,
        )

    async def _buffer_chunk(
        self,
        run: runs.Run,
        started: gate_lib.StartedAttempt,
        chunk: base.TokenChunk,
    ) -> None:
        now_ms = self._clock.now()
        if run.buffer.next_number == 0:
            self.gate.record_first_token(started, None, now_ms)
            self._wake.set()
        data = chunk.text.encode()
        while not run.buffer.has_room(len(data)):
            await clock_lib.sleep_ms(BUFFER_POLL_INTERVAL_MS)
        run.buffer.append(data)
        self.gate.record_generated(started, 1, now_ms)
        run.notify()

    def _finish_stream(
        self,
        run: runs.Run,
        started: gate_lib.StartedAttempt,
        chunk: base.TokenChunk,
    ) -> messages.Finished:
        if run.buffer.next_number == 0:
            self.gate.record_first_token(started, None, self._clock.now())
        last = run.buffer.append(b'', is_last=True)
        usage = chunk.usage or base.Usage(0, 0, 0)
        return messages.Finished(
            attempt=run.work.attempt,
            sequence=last.number,
            check=last.check,
            finish_reason=chunk.finish_reason,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            load=self.gate.pool.load,
        )

    async def _run_call(
        self, run: runs.Run, started: gate_lib.StartedAttempt
    ) -> None:
        try:
            end = await self._call_service(run.work)
        except errors.FoxtailError as exc:
            end = self._make_failed(run, exc)
            self._finish(run, started, exc.verdict, end, is_fault=True)
            return
        self.gate.record_first_token(started, None, self._clock.now())
        self._finish(run, started, verdict_lib.Verdict.RAN, end)

    async def _run_once(
        self, run: runs.Run, started: gate_lib.StartedAttempt
    ) -> None:
        is_fault = False

        async def call_service(work: messages.OpenCall) -> messages.Answer:
            # Only a call made now can be a fault of the endpoint; the
            # stored outcome of an earlier call is not.
            nonlocal is_fault
            if self._clock.now() > run.deadline_ms:
                raise _make_deadline_error()
            is_fault = True
            answer = await self._call_service(work)
            is_fault = False
            self.gate.record_first_token(started, None, self._clock.now())
            return answer

        try:
            end = await self._once.run(run.work, call_service)
        except errors.FoxtailError as exc:
            end = self._make_failed(run, exc)
        now_ms = self._clock.now()
        self.gate.release(started, is_fault, now_ms)
        self._close(run, end, now_ms)

    async def _call_service(self, work: messages.OpenCall) -> messages.Answer:
        headers = {'content-type': work.content_type}
        if work.key:
            headers['idempotency-key'] = work.key
        answer = await self._service.call(
            work.method, work.path, work.body, headers
        )
        return messages.Answer(
            work.attempt,
            answer.status,
            dict(answer.headers).get('content-type', DEFAULT_CONTENT_TYPE),
            answer.body,
        )

    def _finish(
        self,
        run: runs.Run,
        started: gate_lib.StartedAttempt,
        verdict: verdict_lib.Verdict,
        end: runs.End,
        is_fault: bool = False,
    ) -> None:
        now_ms = self._clock.now()
        self.gate.finish(started, verdict, None, is_fault, now_ms)
        self._close(run, end, now_ms)

    def _close(self, run: runs.Run, end: runs.End, now_ms: float) -> None:
        run.close(end, now_ms)
        logger.info(
            'WORK attempt {} request {} account {} ended: {}.',
            run.work.attempt,
            run.work.request,
            run.work.account,
            _describe_end(end),
        )
        self._wake.set()

    def _make_failed(
        self, run: runs.Run, exc: errors.FoxtailError
    ) -> messages.Failed:
        return make_failed(run.work.attempt, exc, self.gate.pool)


def make_failed(
    attempt: types.AttemptId,
    exc: errors.FoxtailError,
    pool: pool_load.PoolLoad,
) -> messages.Failed:
    """Return the message for an attempt that failed.

    :param attempt: the attempt.
    :param exc: the error.
    :param pool: load of the endpoint and its pool.
    """
    hints: tuple[types.EndpointId, ...] = ()
    if isinstance(exc, pool_load.LoadRefusedError):
        hints = exc.admission.hints
    return messages.Failed(
        attempt=attempt,
        code=exc.code,
        verdict=exc.verdict,
        detail=exc.message,
        retry_after_ms=exc.retry_after_ms,
        load=pool.load,
        mean_load=pool.mean,
        hints=hints,
    )


def _make_internal_error() -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.INVARIANT_BROKEN,
        'expected an answer, got an internal error of the sidecar; see its '
        'log',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


def _describe_end(end: runs.End) -> str:
    if isinstance(end, messages.Failed):
        return f'{end.code.value} {end.verdict.value}'
    return type(end).__name__


def _make_chat_call(run: runs.Run) -> base.ChatCall:
    work = run.work
    req = chat_request.ChatRequest.from_json(work.body)
    return base.ChatCall(
        request=work.request,
        model=work.model,
        messages=req.messages,
        max_tokens=work.max_tokens,
        chat=work.chat,
        priority=work.priority,
        # A paused stream resumes after the tokens it has generated.
        resume_from=work.resume_from + run.buffer.next_number,
    )


def _make_deadline_error() -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        'expected to claim the key before the deadline; the call was not '
        'run, retry it with the same key',
    )


def _make_shutdown_error() -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.SHUTTING_DOWN,
        'expected to finish before the sidecar stops; continue elsewhere',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


def _make_cancelled_error(
    verdict: verdict_lib.Verdict = verdict_lib.Verdict.NOT_RUN,
) -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.CANCELLED,
        'expected a connected reader, got a cancellation or none; send it '
        'again',
        verdict,
    )
