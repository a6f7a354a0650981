"""Runs one attempt at a sidecar and reconnects when its link fails.

A link that goes silent or is lost is replaced by a new one, on which the
attempt resumes from the last chunk received.
"""

import dataclasses
import math
import typing

import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import progress as progress_lib
from foxtailpick.core import replay
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import links as links_lib

RECONNECT_DELAY_MS = 50.0
ACKNOWLEDGE_INTERVAL_CHUNKS = 32

FinalMessage = messages.Finished | messages.Answer
Deliver = typing.Callable[[list[str], int], typing.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class AttemptSession:
    """State of one attempt on the router's side.

    :param attempt: its id.
    :param account: the account that opened it.
    :param address: address of the sidecar.
    :param assembler: reassembles the stream from its chunks.
    :param sent_ms: when the opening message was sent, infinite before.
    :param incarnation: the incarnation it was sent to, empty before.
    """

    attempt: types.AttemptId
    account: types.AccountId
    address: str
    assembler: replay.StreamAssembler
    sent_ms: float = math.inf
    incarnation: types.Incarnation = types.Incarnation('')
    progress: progress_lib.AttemptProgress | None = None
    acknowledged: int = 0
    is_first: bool = True

    @property
    def is_sent(self) -> bool:
        """Whether the opening message may have left this process."""
        return self.sent_ms < math.inf


class AttemptClient:
    """Runs attempts over the links of a router.

    :param pool: links to sidecars.
    :param cfg: limits for the detection of silent attempts.
    :param max_reconnects: maximum reconnects of an attempt without any
        progress.
    """

    def __init__(
        self,
        pool: links_lib.LinkPool,
        cfg: settings.LimitSettings,
        max_reconnects: int,
    ) -> None:
        self._pool = pool
        self._token_ms = cfg.token_interval
        defaults = progress_lib.ProgressOptions()
        self._options = progress_lib.ProgressOptions(
            report_ms=cfg.silence / defaults.missed_reports
        )
        self._max_reconnects = max_reconnects
        self._clock = clock_lib.Clock.from_trio()

    async def run(
        self,
        session: AttemptSession,
        opening: messages.OpenChat | messages.OpenCall | None,
        deliver: Deliver,
    ) -> FinalMessage:
        """Open or resume an attempt and wait for its final message.

        :param session: the attempt; its position advances with the stream.
        :param opening: its opening message, None to resume an attempt that
            another router opened.
        :param deliver: called with the texts of new chunks and the number
            of the first one.
        :returns: the final message of the attempt.
        :raises errors.FoxtailError: if there is no answer; the verdict
            tells whether the attempt may have run.
        """
        reconnects = 0
        while True:
            received = session.assembler.resume_point.number
            try:
                return await self._run_on_link(session, opening, deliver)
            except _LostLinkError as exc:
                if session.assembler.resume_point.number > received:
                    # The stream went on since the last reconnect.
                    reconnects = 0
                reconnects += 1
                if reconnects > self._max_reconnects or not session.is_sent:
                    raise self._make_lost_error(session, exc) from exc
            await clock_lib.sleep_ms(RECONNECT_DELAY_MS * reconnects)

    async def _run_on_link(
        self,
        session: AttemptSession,
        opening: messages.OpenChat | messages.OpenCall | None,
        deliver: Deliver,
    ) -> FinalMessage:
        try:
            link = await self._pool.acquire(session.address)
        except errors.LinkError as exc:
            raise _LostLinkError(str(exc)) from exc
        with link.subscribe(session.attempt) as inbox:
            self._send_request(link, session, opening)
            try:
                return await self._read_until_end(
                    link, inbox, session, deliver
                )
            except (trio.Cancelled, OSError):
                # The caller disconnected or the deadline passed.
                link.send_soon(messages.Cancel(session.attempt))
                raise

    def _send_request(
        self,
        link: links_lib.Link,
        session: AttemptSession,
        opening: messages.OpenChat | messages.OpenCall | None,
    ) -> None:
        now_ms = self._clock.now()
        if session.progress is None:
            session.progress = progress_lib.AttemptProgress(
                now_ms, self._token_ms
            )
        if opening is not None and not session.is_sent:
            session.sent_ms = now_ms
            session.incarnation = link.peer.incarnation
            link.send_soon(opening)
            return
        # Restart the silence timer for the new connection.
        session.progress.on_report(now_ms)
        age_ms = now_ms - session.sent_ms
        if math.isinf(age_ms):
            age_ms = 0.0
        point = session.assembler.resume_point
        link.send_soon(
            messages.Resume(
                session.attempt,
                session.account,
                session.incarnation,
                age_ms,
                point.number,
                point.check,
            )
        )

    async def _read_until_end(
        self,
        link: links_lib.Link,
        inbox: trio.MemoryReceiveChannel,
        session: AttemptSession,
        deliver: Deliver,
    ) -> FinalMessage:
        while True:
            message = await self._read_message(link, inbox, session)
            if isinstance(message, messages.Chunks):
                await self._handle_chunks(session, message, deliver)
                self._acknowledge(link, session)
            elif isinstance(message, messages.Finished):
                self._accept_final_chunk(session, message)
                return message
            elif isinstance(message, messages.Answer):
                return message
            elif isinstance(message, messages.Failed):
                raise _make_error(message)

    async def _read_message(
        self,
        link: links_lib.Link,
        inbox: trio.MemoryReceiveChannel,
        session: AttemptSession,
    ) -> messages.Message:
        # Nothing was read while the message before was delivered.
        decision = self._check_late(session, -math.inf)
        while decision.action is progress_lib.Action.WAIT:
            with trio.move_on_at(decision.next_check_ms / types.SECOND_MS):
                try:
                    message = await inbox.receive()
                except trio.EndOfChannel as exc:
                    raise _LostLinkError('a lost link') from exc
                _record_progress(session, message, self._clock.now())
                return message
            decision = self._check_late(session, decision.next_check_ms)
        # Closing the link makes its other attempts reconnect as well.
        self._pool.discard(link)
        if decision.action is not progress_lib.Action.PROBE:
            raise self._make_lost_error(session, decision.reason)
        raise _LostLinkError(decision.reason)

    def _check_late(
        self, session: AttemptSession, due_ms: float
    ) -> progress_lib.StallDecision:
        return progress_lib.decide_on_late_check(
            session.progress, self._options, due_ms, self._clock.now()
        )

    async def _handle_chunks(
        self,
        session: AttemptSession,
        message: messages.Chunks,
        deliver: Deliver,
    ) -> None:
        texts: list[str] = []
        failure: errors.LinkError | None = None
        try:
            self._accept_chunks(session, message, texts)
        except errors.LinkError as exc:
            failure = exc
        if texts:
            first = session.assembler.resume_point.number - len(texts)
            await deliver(texts, first)
        if failure is not None:
            # The stream resumes after the last valid chunk.
            raise _LostLinkError(str(failure)) from failure

    def _accept_chunks(
        self,
        session: AttemptSession,
        message: messages.Chunks,
        texts: list[str],
    ) -> None:
        for offset, text in enumerate(message.texts):
            chunk = replay.Chunk(
                message.attempt,
                message.sequence + offset,
                text.encode(),
                message.checks[offset],
            )
            if session.assembler.accept(chunk) is not None:
                texts.append(text)

    def _accept_final_chunk(
        self, session: AttemptSession, message: messages.Finished
    ) -> None:
        session.assembler.accept(
            replay.Chunk(
                message.attempt, message.sequence, b'', message.check, True
            )
        )

    def _acknowledge(
        self, link: links_lib.Link, session: AttemptSession
    ) -> None:
        number = session.assembler.resume_point.number
        if number - session.acknowledged >= ACKNOWLEDGE_INTERVAL_CHUNKS:
            session.acknowledged = number
            link.send_soon(messages.Acknowledge(session.attempt, number))

    def _make_lost_error(
        self, session: AttemptSession, cause: object
    ) -> errors.LinkError:
        verdict = verdict_lib.Verdict.NOT_RUN
        if session.is_sent:
            verdict = verdict_lib.Verdict.MAY_HAVE_RUN
        return errors.LinkError(
            errors.ErrorCode.LINK_LOST,
            f'expected an answer from {session.address}, got {cause}',
            verdict,
        )


def _record_progress(
    session: AttemptSession, message: messages.Message, now_ms: float
) -> None:
    if isinstance(message, messages.Chunks):
        session.progress.on_token(now_ms)
    else:
        session.progress.on_report(now_ms)


class _LostLinkError(Exception):
    """The link is unusable; the attempt may still be running."""


class LoadRefusedError(errors.RefusedError):
    """A refusal by the load bound of an endpoint.

    :param message: the sidecar's message, with hints to other endpoints.
    """

    def __init__(self, message: messages.Failed) -> None:
        super().__init__(
            message.code,
            message.detail,
            message.verdict,
            message.retry_after_ms,
        )
        self.hints = message.hints


def _make_error(message: messages.Failed) -> errors.FoxtailError:
    if message.code is errors.ErrorCode.LOAD_BOUND_EXCEEDED:
        return LoadRefusedError(message)
    kind = errors.RequestError
    if message.code in REFUSAL_CODES:
        kind = errors.RefusedError
    return kind(
        message.code, message.detail, message.verdict, message.retry_after_ms
    )


REFUSAL_CODES = frozenset(
    {
        errors.ErrorCode.ACCOUNT_OVER_SHARE,
        errors.ErrorCode.ACCOUNT_UNKNOWN,
        errors.ErrorCode.ATTEMPT_CLOSED,
        errors.ErrorCode.DEADLINE_EXCEEDED,
        errors.ErrorCode.DOMAIN_OUT_OF_SERVICE,
        errors.ErrorCode.ENDPOINT_COLD,
        errors.ErrorCode.ENDPOINT_DRAINING,
        errors.ErrorCode.OVERLOADED,
    }
)
