"""Routes calls of plain services, with at-most-once execution by key."""

from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.router import attempt_client
from foxtailpick.router import attempts
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs


# High, because only the sidecar that received a call knows its outcome.
MAX_RECONNECTS = 6


class CallRouter:
    """Routes service calls for one router.

    :param ctx: the state of the router.
    """

    def __init__(self, ctx: context_lib.RouterContext) -> None:
        self._ctx = ctx
        self._client = attempt_client.AttemptClient(
            ctx.links, ctx.cfg.limits, MAX_RECONNECTS
        )

    async def run(self, job: jobs.CallJob) -> messages.Answer:
        """Answer a call.

        :param job: the request.
        :returns: the service's answer.
        :raises errors.FoxtailError: if there is none; the verdict tells
            whether the call may have run.
        """
        routed = attempts.RoutedRequest(
            job.caller,
            job.key or job.caller.request,
            job.service,
            None,
            None,
            job.is_idempotent,
        )

        async def try_endpoint(
            target: attempts.AttemptTarget,
        ) -> messages.Answer:
            return await self._try_endpoint(job, target)

        try:
            with self._ctx.request_scope(job.caller.deadline_ms):
                return await attempts.run_attempts(
                    self._ctx, routed, try_endpoint
                )
        except errors.FoxtailError as exc:
            raise _make_caller_error(exc, routed) from exc
        # Cancelled by the deadline or the shutdown. The attempt in flight
        # has no verdict, and it may have run.
        raise self._ctx.make_interrupted_error(
            verdict_lib.Verdict.MAY_HAVE_RUN, 'no answer'
        )

    async def _try_endpoint(
        self, job: jobs.CallJob, target: attempts.AttemptTarget
    ) -> messages.Answer:
        member = target.member
        attempt = types.AttemptId(jobs.make_id())
        session = attempt_client.AttemptSession(
            attempt,
            job.caller.account.account,
            member.address,
            replay.StreamAssembler(
                replay.ResumePoint(attempt), self._ctx.monitor
            ),
        )
        now_ms = self._ctx.clock.now()
        opening = messages.OpenCall(
            attempt=attempt,
            request=job.caller.request,
            account=job.caller.account.account,
            service=job.service,
            method=job.method,
            path=job.path,
            key=job.key,
            is_idempotent=job.is_idempotent,
            content_type=job.content_type,
            deadline_ms=job.caller.deadline_ms - now_ms,
            mean_load=self._ctx.fleet.loads.get_mean_tokens(
                job.service, now_ms
            ),
            candidates=target.candidates,
            body=job.body,
        )
        return await self._client.run(session, opening, _reject_chunks)


async def _reject_chunks(texts: list[str], first: int) -> None:
    raise errors.LinkError(
        errors.ErrorCode.FRAME_MALFORMED,
        f'expected a single answer to a call, got {len(texts)} chunks',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


def _make_caller_error(
    exc: errors.FoxtailError, routed: attempts.RoutedRequest
) -> errors.FoxtailError:
    if exc.code is errors.ErrorCode.CALL_IN_PROGRESS:
        # This attempt did not run, but an earlier one with the same key may
        # have.
        return errors.RequestError(
            exc.code,
            exc.message,
            verdict_lib.Verdict.MAY_HAVE_RUN,
            exc.retry_after_ms,
        )
    if routed.is_retryable or exc.code in _PASSED_THROUGH_CODES:
        return exc
    return errors.RequestError(
        errors.ErrorCode.OUTCOME_UNKNOWN,
        f'expected an answer, got {exc}; repeat the call with the same key '
        f'to learn its outcome',
        routed.verdict,
        exc.retry_after_ms,
    )


_PASSED_THROUGH_CODES = frozenset(
    {
        errors.ErrorCode.ANSWER_NOT_KEPT,
        errors.ErrorCode.OUTCOME_UNKNOWN,
        errors.ErrorCode.KEY_REUSED,
        errors.ErrorCode.CALL_IN_PROGRESS,
    }
)
