"""Follows one attempt at a sidecar until its end.

The connection may go silent or be lost at any time. The attempt is then
asked for on a new connection, and its stream goes on where it stopped.
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
ACKNOWLEDGE_CHUNKS = 32

End = messages.Finished | messages.Answer
Deliver = typing.Callable[[list[str], int], typing.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Followed:
    """One attempt as the router knows it.

    :param attempt: its id.
    :param account: the account that opened it.
    :param address: address of the sidecar.
    :param assembler: puts the stream together.
    :param sent_ms: when it was first sent.
    :param incarnation: the incarnation that it was sent to; empty until
        then.
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
        """Whether its own message may have left this process."""
        return self.sent_ms < math.inf


class Follower:
    """Follows attempts over the links of a router.

    :param pool: connections to sidecars.
    :param cfg: when an attempt counts as silent.
    :param max_reconnects: new connections tried for one attempt.
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
        followed: Followed,
        opening: messages.OpenChat | messages.OpenCall | None,
        deliver: Deliver,
    ) -> End:
        """Send an attempt, or resume one, and wait for its end.

        :param followed: the attempt; its position moves with the stream.
        :param opening: its own message, None to resume one that another
            router sent.
        :param deliver: takes the texts of new chunks and the number of the
            first one.
        :returns: the last message of the attempt.
        :raises errors.FoxtailError: if it has no answer; the verdict says
            whether it may have run.
        """
        reconnects = 0
        while True:
            try:
                return await self._run_on_link(followed, opening, deliver)
            except _LostLinkError as exc:
                reconnects += 1
                if reconnects > self._max_reconnects or not followed.is_sent:
                    raise self._make_lost_error(followed, exc) from exc
            await clock_lib.sleep_ms(RECONNECT_DELAY_MS * reconnects)

    async def _run_on_link(
        self,
        followed: Followed,
        opening: messages.OpenChat | messages.OpenCall | None,
        deliver: Deliver,
    ) -> End:
        try:
            link = await self._pool.acquire(followed.address)
        except errors.LinkError as exc:
            raise _LostLinkError(str(exc)) from exc
        with link.subscribe(followed.attempt) as inbox:
            self._send_request(link, followed, opening)
            try:
                return await self._read_until_end(
                    link, inbox, followed, deliver
                )
            except (trio.Cancelled, OSError):
                # The caller went away or its deadline passed.
                link.send_soon(messages.Cancel(followed.attempt))
                raise

    def _send_request(
        self,
        link: links_lib.Link,
        followed: Followed,
        opening: messages.OpenChat | messages.OpenCall | None,
    ) -> None:
        now_ms = self._clock.now()
        if followed.progress is None:
            followed.progress = progress_lib.AttemptProgress(
                now_ms, self._token_ms
            )
        if opening is not None and not followed.is_sent:
            followed.sent_ms = now_ms
            followed.incarnation = link.peer.incarnation
            link.send_soon(opening)
            return
        # The new connection gets the whole time to show progress.
        followed.progress.on_report(now_ms)
        age_ms = now_ms - followed.sent_ms
        if math.isinf(age_ms):
            age_ms = 0.0
        point = followed.assembler.point
        link.send_soon(
            messages.Resume(
                followed.attempt,
                followed.account,
                followed.incarnation,
                age_ms,
                point.number,
                point.check,
            )
        )

    async def _read_until_end(
        self,
        link: links_lib.Link,
        inbox: trio.MemoryReceiveChannel,
        followed: Followed,
        deliver: Deliver,
    ) -> End:
        while True:
            message = await self._read_message(link, inbox, followed)
            if isinstance(message, messages.Chunks):
                await self._take_chunks(followed, message, deliver)
                self._acknowledge(link, followed)
            elif isinstance(message, messages.Finished):
                self._accept_end(followed, message)
                return message
            elif isinstance(message, messages.Answer):
                return message
            elif isinstance(message, messages.Failed):
                raise _make_failure(message)

    async def _read_message(
        self,
        link: links_lib.Link,
        inbox: trio.MemoryReceiveChannel,
        followed: Followed,
    ) -> messages.Message:
        decision = self._decide(followed)
        while decision.action is progress_lib.Action.WAIT:
            with trio.move_on_at(decision.next_check_ms / types.SECOND_MS):
                try:
                    message = await inbox.receive()
                except trio.EndOfChannel as exc:
                    raise _LostLinkError('the link was lost') from exc
                _note_progress(followed, message, self._clock.now())
                return message
            decision = self._decide(followed)
        # Other attempts on this link look for themselves on a new one.
        self._pool.discard(link)
        if decision.action is not progress_lib.Action.PROBE:
            raise self._make_lost_error(followed, decision.reason)
        raise _LostLinkError(decision.reason)

    def _decide(self, followed: Followed) -> progress_lib.Decision:
        return progress_lib.decide_on_stall(
            followed.progress, self._options, self._clock.now()
        )

    async def _take_chunks(
        self, followed: Followed, message: messages.Chunks, deliver: Deliver
    ) -> None:
        texts: list[str] = []
        failure: errors.LinkError | None = None
        try:
            self._accept_chunks(followed, message, texts)
        except errors.LinkError as exc:
            failure = exc
        if texts:
            first = followed.assembler.point.number - len(texts)
            await deliver(texts, first)
        if failure is not None:
            # The stream goes on from the position that was reached.
            raise _LostLinkError(str(failure)) from failure

    def _accept_chunks(
        self,
        followed: Followed,
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
            if followed.assembler.accept(chunk) is not None:
                texts.append(text)

    def _accept_end(
        self, followed: Followed, message: messages.Finished
    ) -> None:
        followed.assembler.accept(
            replay.Chunk(
                message.attempt, message.sequence, b'', message.check, True
            )
        )

    def _acknowledge(self, link: links_lib.Link, followed: Followed) -> None:
        number = followed.assembler.point.number
        if number - followed.acknowledged >= ACKNOWLEDGE_CHUNKS:
            followed.acknowledged = number
            link.send_soon(messages.Acknowledge(followed.attempt, number))

    def _make_lost_error(
        self, followed: Followed, came: object
    ) -> errors.LinkError:
        verdict = verdict_lib.Verdict.NOT_RUN
        if followed.is_sent:
            verdict = verdict_lib.Verdict.MAY_HAVE_RUN
        return errors.LinkError(
            errors.ErrorCode.LINK_LOST,
            f'expected an answer from {followed.address}, got {came}',
            verdict,
        )


def _note_progress(
    followed: Followed, message: messages.Message, now_ms: float
) -> None:
    if isinstance(message, messages.Chunks):
        followed.progress.on_token(now_ms)
    else:
        followed.progress.on_report(now_ms)


class _LostLinkError(Exception):
    """The link is of no more use; the attempt may still run."""


class LoadRefusedError(errors.RefusedError):
    """A refusal by the load bound.

    :param message: the sidecar's message, with hints.
    """

    def __init__(self, message: messages.Failed) -> None:
        super().__init__(
            message.code,
            message.detail,
            message.verdict,
            message.retry_after_ms,
        )
        self.hints = message.hints


def _make_failure(message: messages.Failed) -> errors.FoxtailError:
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
