"""Routes chat completions: places, tries, resumes, gives up truthfully."""

import dataclasses
import typing

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import decision as decision_lib
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.router import context as context_lib
from foxtailpick.router import follow
from foxtailpick.router import jobs

OVERLOAD_RETRY_AFTER_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """One token on its way to the caller.

    :param index: its place in the whole answer.
    :param text: its text.
    :param position: what the caller sends back to resume behind it.
    """

    index: int
    text: str
    position: jobs.StreamPosition


@dataclasses.dataclass(frozen=True, slots=True)
class ChatEnd:
    """The end of a chat completion.

    :param endpoint: the endpoint that finished it.
    :param incarnation: its incarnation, which holds the cached prefix.
    :param tokens: how many tokens the whole answer has.
    :param finished: the sidecar's last message.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation
    tokens: int
    finished: messages.Finished


Deliver = typing.Callable[[list[Token]], typing.Awaitable[None]]


class ChatRouter:
    """Routes chat completions for one router.

    :param ctx: the state of the router.
    """

    def __init__(self, ctx: context_lib.RouterContext) -> None:
        self._ctx = ctx
        self._follower = follow.Follower(ctx.links, ctx.cfg.limits.silence)

    async def run(self, job: jobs.ChatJob, deliver: Deliver) -> ChatEnd:
        """Answer a chat completion.

        :param job: what to do.
        :param deliver: takes the tokens in order, each once.
        :returns: the end of the answer.
        :raises errors.FoxtailError: if it cannot be completed.
        """
        progress = _Progress(job, deliver)
        with self._ctx.limit_work(job.caller.deadline_ms):
            return await self._run_until_deadline(job, progress)
        raise self._ctx.make_stop_error(
            progress.verdict, f'{progress.tokens} tokens'
        )

    async def _run_until_deadline(
        self, job: jobs.ChatJob, progress: '_Progress'
    ) -> ChatEnd:
        service = self._find_service(job.request.model)
        self._ctx.budget.deposit(service)
        if job.position is not None:
            end = await self._resume(job, progress)
            if end is not None:
                return end
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._try_candidates(job, progress, service)
            except errors.FoxtailError as exc:
                await self._wait_for_retry(
                    job, progress, service, attempts, exc
                )

    async def _resume(
        self, job: jobs.ChatJob, progress: '_Progress'
    ) -> ChatEnd | None:
        position = job.position
        member = self._ctx.table.get_member(position.endpoint)
        if member is None:
            return None
        followed = follow.Followed(
            position.attempt,
            job.caller.account.account,
            member.address,
            replay.StreamAssembler(
                replay.ResumePoint(position.attempt, position.number),
                self._ctx.monitor,
            ),
        )
        # The caller holds tokens of the attempt, so it was sent.
        followed.sent_ms = 0.0
        line = f'resume at {position.endpoint} from {position.number}.'
        self._ctx.explain('RESUME', job.caller, line)
        progress.begin_attempt(
            position.endpoint, position.attempt, position.base
        )
        try:
            end = await self._follower.run(followed, None, progress.deliver)
        except errors.FoxtailError as exc:
            self._ctx.explain('RESUME', job.caller, f'not possible: {exc}')
            return None
        return progress.make_end(member.incarnation, end)

    async def _try_candidates(
        self,
        job: jobs.ChatJob,
        progress: '_Progress',
        service: types.ServiceId,
    ) -> ChatEnd:
        chosen = self._ctx.place(
            job.caller, job.chat, service, job.request.model, job.hint
        )
        refusals: list[errors.FoxtailError] = []
        for candidate in chosen.candidates:
            self._ctx.metrics.count('tries')
            try:
                return await self._try_endpoint(job, progress, candidate)
            except errors.RefusedError as exc:
                line = f'{candidate.endpoint} refused: {exc}'
                self._ctx.explain('HOP', job.caller, line)
                refusals.append(exc)
                if exc.code is errors.ErrorCode.DEADLINE_EXCEEDED:
                    break
            except errors.LinkError as exc:
                self._ctx.note_unreachable(candidate.endpoint)
                if exc.verdict is not verdict_lib.Verdict.NOT_RUN:
                    raise
                line = f'{candidate.endpoint} not reached: {exc}'
                self._ctx.explain('HOP', job.caller, line)
                refusals.append(exc)
        raise _make_exhausted_error(job, refusals)

    async def _try_endpoint(
        self,
        job: jobs.ChatJob,
        progress: '_Progress',
        candidate: decision_lib.Candidate,
    ) -> ChatEnd:
        member = self._ctx.table.get_member(candidate.endpoint)
        attempt = types.AttemptId(jobs.make_id())
        progress.begin_attempt(member.endpoint, attempt, progress.tokens)
        followed = follow.Followed(
            attempt,
            job.caller.account.account,
            member.address,
            replay.StreamAssembler(
                replay.ResumePoint(attempt), self._ctx.monitor
            ),
        )
        opening = self._make_opening(job, attempt, progress.tokens)
        try:
            end = await self._follower.run(followed, opening, progress.deliver)
        except errors.FoxtailError as exc:
            progress.note_failure(exc)
            raise
        return progress.make_end(followed.incarnation, end)

    def _make_opening(
        self, job: jobs.ChatJob, attempt: types.AttemptId, resume_from: int
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
            mean_load=self._ctx.loads.get_mean_tokens(now_ms),
            resume_from=resume_from,
            body=job.body,
        )

    async def _wait_for_retry(
        self,
        job: jobs.ChatJob,
        progress: '_Progress',
        service: types.ServiceId,
        attempts: int,
        exc: errors.FoxtailError,
    ) -> None:
        failed = retry.FailedAttempt(
            service=service,
            attempts=attempts,
            verdict=progress.verdict,
            # Repeating a completion yields an answer and books nothing.
            is_idempotent=True,
            deadline_ms=job.caller.deadline_ms,
            retry_after_ms=exc.retry_after_ms,
        )
        plan = retry.plan_retry(
            failed,
            self._ctx.budget,
            self._ctx.retry_options,
            self._ctx.rng,
            self._ctx.clock.now(),
        )
        line = f'{exc}; retry {plan.reason.value}.'
        self._ctx.explain('RETRY', job.caller, line)
        if not plan.is_allowed:
            raise exc
        self._ctx.metrics.count('retries')
        await clock_lib.sleep_ms(plan.delay_ms)

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
    """What the caller has received so far, over all attempts.

    :param job: the chat completion.
    :param deliver: takes the tokens.
    """

    def __init__(self, job: jobs.ChatJob, deliver: Deliver) -> None:
        position = job.position
        self.tokens = position.base + position.number if position else 0
        self.verdict = verdict_lib.Verdict.NOT_RUN
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
        """Note the attempt that the next tokens come from."""
        self._endpoint = endpoint
        self._attempt = attempt
        self._base = base

    async def deliver(self, texts: list[str], first: int) -> None:
        """Hand on new chunks of the current attempt."""
        self.verdict = verdict_lib.Verdict.MAY_HAVE_RUN
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
        self.tokens = tokens[-1].index + 1
        await self._deliver(tokens)

    def note_failure(self, exc: errors.FoxtailError) -> None:
        """Take an attempt's verdict into account."""
        self.verdict = verdict_lib.merge_verdicts(self.verdict, exc.verdict)

    def make_end(
        self, incarnation: types.Incarnation, finished: messages.Finished
    ) -> ChatEnd:
        """Return the end of the answer."""
        return ChatEnd(self._endpoint, incarnation, self.tokens, finished)


def _make_exhausted_error(
    job: jobs.ChatJob, refusals: list[errors.FoxtailError]
) -> errors.RequestError:
    if not refusals:
        return errors.RequestError(
            errors.ErrorCode.NO_ENDPOINT,
            f'expected an endpoint for {job.request.model}, found none that '
            f'the account may use; see the status of the fleet',
            retry_after_ms=OVERLOAD_RETRY_AFTER_MS,
        )
    last = refusals[-1]
    waits_ms = [
        exc.retry_after_ms
        for exc in refusals
        if exc.retry_after_ms is not None
    ]
    verdict = verdict_lib.Verdict.NOT_RUN
    for exc in refusals:
        verdict = verdict_lib.merge_verdicts(verdict, exc.verdict)
    code = errors.ErrorCode.OVERLOADED
    if last.code is errors.ErrorCode.DEADLINE_EXCEEDED:
        code = last.code
    return errors.RequestError(
        code,
        f'expected room at one of {len(refusals)} endpoints, all refused, '
        f'the last with {last}; try again after the time given',
        verdict,
        min(waits_ms, default=OVERLOAD_RETRY_AFTER_MS),
    )
