"""Routes chat completions: placement, attempts, retries and resumption."""

import dataclasses
import typing

import trio

from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.router import attempt_client
from foxtailpick.router import attempts
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs


# Low, because a chat can resume at another endpoint.
MAX_RECONNECTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """One token of an answer.

    :param index: its index in the whole answer.
    :param text: its text.
    :param position: sent back by the caller to resume after this token.
    """

    index: int
    text: str
    position: jobs.StreamPosition


@dataclasses.dataclass(frozen=True, slots=True)
class ChatResult:
    """Summary of a finished chat completion.

    :param endpoint: the endpoint that finished it.
    :param incarnation: its incarnation, which holds the cached prefix.
    :param token_count: number of tokens in the whole answer.
    :param finished: the sidecar's final message.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation
    token_count: int
    finished: messages.Finished


Deliver = typing.Callable[[list[Token]], typing.Awaitable[None]]


class ChatRouter:
    """Routes chat completions for one router.

    :param ctx: the state of the router.
    """

    def __init__(self, ctx: context_lib.RouterContext) -> None:
        self._ctx = ctx
        self._client = attempt_client.AttemptClient(
            ctx.links, ctx.cfg.limits, MAX_RECONNECTS
        )

    async def run(self, job: jobs.ChatJob, deliver: Deliver) -> ChatResult:
        """Answer a chat completion.

        :param job: the request.
        :param deliver: called with the tokens in order, each exactly once.
        :returns: summary of the finished answer.
        :raises errors.FoxtailError: if it cannot be completed.
        """
        service = self._find_service(job.request.model)
        progress = _Progress(job, service, deliver)
        with self._ctx.request_scope(job.caller.deadline_ms):
            return await self._run_until_deadline(job, progress)
        raise self._ctx.make_interrupted_error(
            progress.routed.verdict, f'{progress.token_count} tokens'
        )

    async def _run_until_deadline(
        self, job: jobs.ChatJob, progress: '_Progress'
    ) -> ChatResult:
        if job.position is not None:
            result = await self._resume(job, progress)
            if result is not None:
                return result

        async def try_endpoint(target: attempts.AttemptTarget) -> ChatResult:
            return await self._try_endpoint(job, progress, target)

        return await attempts.run_attempts(
            self._ctx, progress.routed, try_endpoint
        )

    async def _resume(
        self, job: jobs.ChatJob, progress: '_Progress'
    ) -> ChatResult | None:
        position = job.position
        member = self._ctx.fleet.table.get_member(position.endpoint)
        if member is None:
            return None
        session = attempt_client.AttemptSession(
            position.attempt,
            job.caller.account.account,
            member.address,
            replay.StreamAssembler(
                replay.ResumePoint(position.attempt, position.number),
                self._ctx.monitor,
            ),
        )
        # The caller has tokens of the attempt, so it was sent.
        session.sent_ms = 0.0
        line = f'resume at {position.endpoint} from chunk {position.number}.'
        self._ctx.log_decision('RESUME', job.caller, line)
        progress.begin_attempt(
            position.endpoint, position.attempt, position.base
        )
        try:
            finished = await self._client.run(session, None, progress.deliver)
        except errors.FoxtailError as exc:
            self._ctx.log_decision('RESUME', job.caller, f'failed: {exc}')
            return None
        return progress.make_result(member.incarnation, finished)

    async def _try_endpoint(
        self,
        job: jobs.ChatJob,
        progress: '_Progress',
        target: attempts.AttemptTarget,
    ) -> ChatResult:
        member = target.member
        attempt = types.AttemptId(jobs.make_id())
        progress.begin_attempt(member.endpoint, attempt, progress.token_count)
        session = attempt_client.AttemptSession(
            attempt,
            job.caller.account.account,
            member.address,
            replay.StreamAssembler(
                replay.ResumePoint(attempt), self._ctx.monitor
            ),
        )
        opening = self._make_opening(job, attempt, progress, target)
        try:
            finished = await self._client.run(
                session, opening, progress.deliver
            )
        except trio.Cancelled:
            # Cancelled without a final message; the attempt may have run.
            if session.is_sent:
                progress.routed.add_verdict(verdict_lib.Verdict.MAY_HAVE_RUN)
            raise
        return progress.make_result(session.incarnation, finished)

    def _make_opening(
        self,
        job: jobs.ChatJob,
        attempt: types.AttemptId,
        progress: '_Progress',
        target: attempts.AttemptTarget,
    ) -> messages.OpenChat:
        now_ms = self._ctx.clock.now()
        return messages.OpenChat(
            attempt=attempt,
            request=job.caller.request,
            account=job.caller.account.account,
            chat=job.chat,
            model=job.request.model,
            priority=job.caller.priority,
            deadline_ms=job.caller.deadline_ms - now_ms,
            prompt_tokens=job.request.prompt_tokens,
            max_tokens=job.request.max_tokens,
            mean_load=self._ctx.fleet.loads.get_mean_tokens(
                progress.routed.service, now_ms
            ),
            resume_from=progress.token_count,
            candidates=target.candidates,
            body=job.body,
        )

    def _find_service(self, model: types.ModelId) -> types.ServiceId:
        cfg = self._ctx.read_config()
        for service, item in sorted(cfg.services.items()):
            if model in item.models:
                return service
        known = ', '.join(sorted(cfg.models)) or 'none'
        raise errors.RequestError(
            errors.ErrorCode.MODEL_UNKNOWN,
            f'model: expected one of {known}, got {model!r}; correct it',
        )


class _Progress:
    """Progress of an answer over all attempts.

    :param job: the chat completion.
    :param service: the service that serves its model.
    :param deliver: called with the tokens.
    """

    def __init__(
        self,
        job: jobs.ChatJob,
        service: types.ServiceId,
        deliver: Deliver,
    ) -> None:
        # Completions have no side effects, so they are safe to repeat.
        self.routed = attempts.RoutedRequest(
            job.caller,
            job.chat,
            service,
            job.request.model,
            job.hint,
            is_idempotent=True,
        )
        position = job.position
        self.token_count = position.base + position.number if position else 0
        if position is not None:
            # The caller has tokens of an earlier attempt.
            self.routed.add_verdict(verdict_lib.Verdict.MAY_HAVE_RUN)
        self._deliver = deliver
        self._endpoint = types.EndpointId('')
        self._attempt = types.AttemptId('')
        self._base = 0

    def begin_attempt(
        self,
        endpoint: types.EndpointId,
        attempt: types.AttemptId,
        base: int,
    ) -> None:
        """Set the attempt that the next tokens belong to."""
        self._endpoint = endpoint
        self._attempt = attempt
        self._base = base

    async def deliver(self, texts: list[str], first: int) -> None:
        """Pass new chunks of the current attempt to the caller."""
        self.routed.add_verdict(verdict_lib.Verdict.MAY_HAVE_RUN)
        self.routed.is_mid_stream = True
        tokens = [
            Token(
                self._base + number,
                text,
                jobs.StreamPosition(
                    self._endpoint, self._attempt, self._base, number + 1
                ),
            )
            for number, text in enumerate(texts, first)
        ]
        self.token_count = tokens[-1].index + 1
        await self._deliver(tokens)

    def make_result(
        self, incarnation: types.Incarnation, finished: messages.Finished
    ) -> ChatResult:
        """Return the summary of the finished answer."""
        return ChatResult(
            self._endpoint, incarnation, self.token_count, finished
        )
