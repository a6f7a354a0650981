"""Connections from routers: receives frames, sends streams and answers."""

import contextlib
import itertools
import typing

from loguru import logger
import trio

from foxtailpick.adapters import wire
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.sidecar import runs
from foxtailpick.sidecar import worker as worker_lib

# Chunks that arrive within this time are sent in one frame.
COALESCE_MS = 4.0
# Longest time between two messages about an attempt that makes no progress.
HEARTBEAT_INTERVAL_MS = 400.0
PROBE_INTERVAL_MS = 5_000.0
# Well below the retention of attempts: an attempt whose frame may be older
# than the retention is refused.
IDLE_PROBE_INTERVAL_MS = 45_000.0
WINDOW_CHUNKS = 512
MAX_CHUNKS_PER_FRAME = 64
MAX_PENDING_REPLIES = 256

# Longest time that a frame may have waited for its account to load.
MAX_ACCOUNT_WAIT_MS = 30_000.0

_connection_ids = itertools.count()

OnFrame = typing.Callable[['Connection', messages.Frame], None]


class Connection:
    """A connection from a router; its task owns the socket.

    :param conn: the WebSocket connection.
    :param worker: runs the attempts.
    :param hello: handshake message of this sidecar.
    :param node: holds the configuration in force.
    :param on_frame: called with this connection and each received frame.
    :param meter: counts sent and received bytes.
    :param count_work: returns a context that is open while an attempt of the
        router is sent.
    """

    def __init__(
        self,
        conn: typing.Any,
        worker: worker_lib.Worker,
        hello: messages.Hello,
        node: config_node_lib.ConfigNode,
        on_frame: OnFrame,
        meter: wire.TrafficMeter,
        count_work: typing.Callable[
            [], typing.ContextManager
        ] = contextlib.nullcontext,
    ) -> None:
        self.peer: messages.Hello | None = None
        self.name = f'connection/{next(_connection_ids)}'
        self._stream = wire.FrameStream(conn, meter)
        self._worker = worker
        self._hello = hello
        self._node = node
        self._on_frame = on_frame
        self._count_work = count_work
        self._clock = clock_lib.Clock.from_trio()
        self._sent_after_ms = self._clock.now()
        self._probe_nonce = 0
        self._opened_count = 0
        self._probe_sent_ms = self._sent_after_ms
        self._pending_replies = 0
        self._nursery: trio.Nursery | None = None
        self._handlers = {
            messages.OpenChat: self._on_open,
            messages.OpenCall: self._on_open,
            messages.Cancel: self._on_cancel,
            messages.Acknowledge: self._on_acknowledge,
            messages.Resume: self._on_resume,
            messages.ProbeReply: self._on_probe_reply,
        }

    async def serve(self) -> None:
        """Serve the connection until it is lost."""
        try:
            await self._handshake()
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._probe)
                nursery.start_soon(self._send_states)
                await self._serve_frames()
        except* errors.LinkError as group:
            logger.info('LINK closed. {}', group.exceptions[0])

    async def _serve_frames(self) -> None:
        self._node.add_router(self.name, self.send_soon)
        try:
            await self._read_frames()
        finally:
            # Must precede the end of the nursery, which runs `send_soon`.
            self._node.remove_router(self.name)

    async def send(self, message: messages.Message) -> None:
        """Send a message.

        :raises errors.LinkError: if the connection is lost.
        """
        frame = messages.Frame(self._node.read_number(), message)
        await self._stream.send(frame)

    def send_soon(self, message: messages.Message) -> None:
        """Send a message in a background task of the connection.

        A peer that does not read what it asks for is disconnected.
        """
        if self._pending_replies >= MAX_PENDING_REPLIES:
            self._nursery.cancel_scope.cancel()
            return
        self._pending_replies += 1
        self._nursery.start_soon(self._send_reply, message)

    async def _send_reply(self, message: messages.Message) -> None:
        try:
            await self.send(message)
        finally:
            self._pending_replies -= 1

    async def _handshake(self) -> None:
        with trio.fail_after(wire.OPEN_TIMEOUT_S):
            frame = await self._stream.receive()
        try:
            self.peer = wire.check_hello(frame)
        except errors.LinkError as exc:
            await wire.close_with_code(self._stream.conn, exc)
            raise
        self._on_frame(self, frame)
        await self.send(self._hello)

    async def _read_frames(self) -> None:
        while True:
            frame = await self._stream.receive()
            self._on_frame(self, frame)
            handler = self._handlers.get(type(frame.message))
            if handler is not None:
                await handler(frame.message)

    async def _probe(self) -> None:
        """Probe the router, to bound the age of the frames received."""
        opened_count = self._opened_count
        for nonce in itertools.count():
            self._probe_nonce = nonce
            self._probe_sent_ms = self._clock.now()
            await self.send(messages.Probe(nonce))
            is_idle = self._opened_count == opened_count
            opened_count = self._opened_count
            await clock_lib.sleep_ms(
                IDLE_PROBE_INTERVAL_MS if is_idle else PROBE_INTERVAL_MS
            )

    async def _on_probe_reply(self, message: messages.ProbeReply) -> None:
        if message.nonce == self._probe_nonce:
            self._sent_after_ms = self._probe_sent_ms

    async def _send_states(self) -> None:
        """Send the endpoint state to the router, now and on each change."""
        worker = self._worker
        while True:
            state = worker.gate.slow_start.state
            await self.send(messages.StateNotice(state, worker.gate.pool.load))
            while worker.gate.slow_start.state is state:
                await worker.state_changed.wait()

    async def _on_open(
        self, message: messages.OpenChat | messages.OpenCall
    ) -> None:
        self._opened_count += 1
        if not self._node.tracker.request_account(message.account):
            # Does not block other frames of the connection.
            self._nursery.start_soon(self._load_and_open, message)
            return
        await self._open(message)

    async def _load_and_open(
        self, message: messages.OpenChat | messages.OpenCall
    ) -> None:
        # The router has the account, even while the store is unavailable.
        self._node.request_account_chunk(message.account, self.send_soon)
        try:
            await self._node.require_account(message.account)
        except errors.ConfigError as exc:
            logger.info('GATE account {} not loaded.', message.account)
            await self._refuse_unopened(message, exc)
            return
        await self._open(message)

    async def _refuse_unopened(
        self,
        message: messages.OpenChat | messages.OpenCall,
        exc: errors.ConfigError,
    ) -> None:
        # The query closes the attempt, so that it cannot run later.
        attempts = self._worker.gate.attempts
        report = attempts.query(
            message.attempt,
            attempts.incarnation,
            MAX_ACCOUNT_WAIT_MS,
            self._clock.now(),
        )
        refusal = errors.RefusedError(
            exc.code, exc.message, report.verdict, exc.retry_after_ms
        )
        await self._send_failed(message.attempt, refusal)

    async def _open(
        self, message: messages.OpenChat | messages.OpenCall
    ) -> None:
        try:
            run = self._worker.submit(message, self._sent_after_ms)
        except errors.RefusedError as exc:
            await self._send_failed(message.attempt, exc)
            return
        if run is None:
            await self._send_failed(
                message.attempt, _make_unknown_attempt_error(message.attempt)
            )
            return
        await self._send_accepted(run)
        self._start_sending(run, replay.ResumePoint(message.attempt))

    async def _on_cancel(self, message: messages.Cancel) -> None:
        self._worker.cancel(message.attempt)

    async def _on_acknowledge(self, message: messages.Acknowledge) -> None:
        run = self._worker.table.find(message.attempt)
        if run is not None:
            run.acknowledge(message.sequence)

    async def _on_resume(self, message: messages.Resume) -> None:
        run = self._worker.table.find(message.attempt)
        if run is None or run.work.account != message.account:
            await self._send_attempt_state(message)
            return
        point = replay.ResumePoint(
            message.attempt, message.sequence, message.check
        )
        try:
            run.buffer.read_from(point)
        except errors.LinkError as exc:
            await self._send_failed(message.attempt, exc)
            return
        await self._send_accepted(run)
        self._start_sending(run, point)

    async def _send_attempt_state(self, message: messages.Resume) -> None:
        now_ms = self._clock.now()
        report = self._worker.gate.attempts.query(
            message.attempt,
            message.incarnation,
            # The message itself may have been in transit since the probe.
            message.age_ms + now_ms - self._sent_after_ms,
            now_ms,
        )
        exc = _make_unknown_attempt_error(message.attempt, report.verdict)
        await self._send_failed(message.attempt, exc)

    def _start_sending(self, run: runs.Run, point: replay.ResumePoint) -> None:
        if run.sender_scope is not None:
            run.sender_scope.cancel()
        run.sender_scope = trio.CancelScope()
        self._nursery.start_soon(self._send_run, run, point, run.sender_scope)

    async def _send_run(
        self,
        run: runs.Run,
        point: replay.ResumePoint,
        scope: trio.CancelScope,
    ) -> None:
        try:
            with scope, self._count_work():
                await self._send_chunks(run, point)
                await self.send(run.end)
        finally:
            if run.sender_scope is scope:
                run.sender_scope = None
                run.detached_ms = self._clock.now()

    async def _send_chunks(
        self, run: runs.Run, point: replay.ResumePoint
    ) -> None:
        while True:
            chunks = self._read_window(run, point)
            if chunks:
                await self.send(self._make_chunks(run, chunks))
                last = chunks[-1]
                point = replay.ResumePoint(
                    run.work.attempt, last.number + 1, last.check
                )
            elif run.end is not None and self._is_sent(run, point):
                return
            else:
                await self._wait_for_change(run)

    def _read_window(
        self, run: runs.Run, point: replay.ResumePoint
    ) -> list[replay.Chunk]:
        if point.number - run.acknowledged >= WINDOW_CHUNKS:
            return []
        chunks = run.buffer.read_from(point)[:MAX_CHUNKS_PER_FRAME]
        return [chunk for chunk in chunks if not chunk.is_last]

    def _is_sent(self, run: runs.Run, point: replay.ResumePoint) -> bool:
        # The final chunk is empty; it is sent as the end of the run.
        closing = 1 if run.buffer.is_complete else 0
        return point.number >= run.buffer.next_number - closing

    async def _wait_for_change(self, run: runs.Run) -> None:
        changed = run.changed
        with trio.move_on_after(
            HEARTBEAT_INTERVAL_MS / types.SECOND_MS
        ) as scope:
            await changed.wait()
        if scope.cancelled_caught:
            await self._send_accepted(run)
        elif run.buffer.next_number > 1:
            with trio.move_on_after(COALESCE_MS / types.SECOND_MS):
                await run.ended.wait()

    def _make_chunks(
        self, run: runs.Run, chunks: list[replay.Chunk]
    ) -> messages.Chunks:
        return messages.Chunks(
            attempt=run.work.attempt,
            sequence=chunks[0].number,
            texts=tuple(chunk.data.decode() for chunk in chunks),
            checks=tuple(chunk.check for chunk in chunks),
            load=self._worker.gate.pool.load,
        )

    async def _send_accepted(self, run: runs.Run) -> None:
        gate = self._worker.gate
        await self.send(
            messages.Accepted(
                run.work.attempt,
                gate.queue_length,
                gate.pool.load,
                gate.pool.mean,
            )
        )

    async def _send_failed(
        self, attempt: types.AttemptId, exc: errors.FoxtailError
    ) -> None:
        await self.send(
            worker_lib.make_failed(attempt, exc, self._worker.gate.pool)
        )


def _make_unknown_attempt_error(
    attempt: types.AttemptId,
    verdict: verdict_lib.Verdict = verdict_lib.Verdict.MAY_HAVE_RUN,
) -> errors.LinkError:
    return errors.LinkError(
        errors.ErrorCode.ATTEMPT_CLOSED,
        f'expected a known attempt, got {attempt}; the verdict tells whether '
        f'it may have run',
        verdict,
    )
