"""Tries endpoints in placement order until one answers.

After a refusal the request moves on to the next candidate, which counts as
a hop. A failure takes a retry from the retry budget and places the request
again. A request that may have run is tried again only if it is idempotent.
"""

import dataclasses
import typing

from foxtailpick.adapters import base
from foxtailpick.core import candidates
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import decision as decision_lib
from foxtailpick.core import errors
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs

OVERLOAD_RETRY_AFTER_MS = 1_000.0
# An endpoint that closed an unstarted attempt with its link is not full: it
# takes the request again as soon as a new link is open.
LINK_RETRY_AFTER_MS = 100.0
MAX_TRIED_ENDPOINTS = 6

Result = typing.TypeVar('Result')


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTarget:
    """Target of one attempt.

    :param member: the member to send it to.
    :param candidates: the remaining candidates, in order.
    """

    member: base.Member
    candidates: tuple[types.EndpointId, ...]


TryEndpoint = typing.Callable[[AttemptTarget], typing.Awaitable[Result]]


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A request that is being routed, with the verdict on its attempts.

    :param caller: the caller.
    :param key: placement key: the chat, or the idempotency key or request
        id of a call.
    :param service: the requested service.
    :param model: the requested model, None for a plain service.
    :param hint: where the chat ran last.
    :param is_idempotent: whether the request can safely run more than once.
    :param verdict: combined verdict on all attempts so far.
    :param is_mid_stream: whether the caller has received part of the answer.
    """

    caller: jobs.Caller
    key: str
    service: types.ServiceId
    model: types.ModelId | None
    hint: decision_lib.LocationHint | None
    is_idempotent: bool
    verdict: verdict_lib.Verdict = verdict_lib.Verdict.NOT_RUN
    is_mid_stream: bool = False

    def add_verdict(self, verdict: verdict_lib.Verdict) -> None:
        """Merge the verdict on an attempt into the combined verdict."""
        self.verdict = verdict_lib.merge_verdicts(self.verdict, verdict)

    @property
    def is_retryable(self) -> bool:
        """Whether the request has not run or is idempotent."""
        return verdict_lib.is_retry_safe(self.verdict, self.is_idempotent)


async def run_attempts(
    ctx: context_lib.RouterContext,
    routed: RoutedRequest,
    try_endpoint: TryEndpoint[Result],
) -> Result:
    """Try endpoints until one answers, within the retry budget.

    :param ctx: state of the router.
    :param routed: the request; its verdict is updated.
    :param try_endpoint: makes one attempt at a candidate.
    :returns: the result of `try_endpoint`.
    :raises errors.FoxtailError: if no attempt succeeded.
    """
    ctx.budget.deposit(routed.service)
    ctx.mid_stream_budget.deposit(routed.service)
    attempts = 0
    while True:
        attempts += 1
        try:
            return await _try_candidates(ctx, routed, try_endpoint)
        except errors.FoxtailError as exc:
            await _wait_for_retry(ctx, routed, attempts, exc)


async def _try_candidates(
    ctx: context_lib.RouterContext,
    routed: RoutedRequest,
    try_endpoint: TryEndpoint[Result],
) -> Result:
    req = ctx.make_placement_request(
        routed.caller, routed.key, routed.service, routed.model, routed.hint
    )
    chosen = ctx.place(routed.caller, req)
    remaining = [candidate.endpoint for candidate in chosen.candidates]
    tried: set[types.EndpointId] = set()
    refusals: list[errors.FoxtailError] = []
    while remaining and len(tried) < MAX_TRIED_ENDPOINTS:
        endpoint = remaining.pop(0)
        tried.add(endpoint)
        member = ctx.fleet.table.get_member(endpoint)
        if member is None:
            # It was removed while other candidates were tried.
            ctx.log_decision('HOP', routed.caller, f'{endpoint} was removed.')
            continue
        ctx.metrics.count('tries')
        try:
            if refusals:
                ctx.fleet.record_location(routed.key, endpoint)
            return await try_endpoint(AttemptTarget(member, tuple(remaining)))
        except (errors.RefusedError, errors.LinkError) as exc:
            routed.add_verdict(exc.verdict)
            _record_hop(ctx, routed, endpoint, exc)
            if _needs_retry(exc) or not routed.is_retryable:
                raise
            refusals.append(exc)
            remaining = _prioritize_hints(ctx, routed, remaining, tried, exc)
        except errors.FoxtailError as exc:
            routed.add_verdict(exc.verdict)
            raise
    raise _make_exhausted_error(routed, refusals)


def _prioritize_hints(
    ctx: context_lib.RouterContext,
    routed: RoutedRequest,
    remaining: list[types.EndpointId],
    tried: set[types.EndpointId],
    exc: errors.FoxtailError,
) -> list[types.EndpointId]:
    hints = [e for e in getattr(exc, 'hints', ()) if e not in tried]
    if not hints:
        return remaining
    req = ctx.make_placement_request(
        routed.caller, routed.key, routed.service, routed.model
    )
    table = ctx.fleet.table
    return candidates.rank_after_refusal(table, req, remaining, hints)


def _record_hop(
    ctx: context_lib.RouterContext,
    routed: RoutedRequest,
    endpoint: types.EndpointId,
    exc: errors.FoxtailError,
) -> None:
    if isinstance(exc, errors.LinkError):
        ctx.fleet.on_unreachable(endpoint)
    ctx.metrics.count('hops')
    ctx.log_decision('HOP', routed.caller, f'not at {endpoint}: {exc}')


def _needs_retry(exc: errors.FoxtailError) -> bool:
    # A link lost after the request was sent costs a retry, not just a hop.
    is_lost = isinstance(exc, errors.LinkError)
    return is_lost and exc.verdict is not verdict_lib.Verdict.NOT_RUN


async def _wait_for_retry(
    ctx: context_lib.RouterContext,
    routed: RoutedRequest,
    attempts: int,
    exc: errors.FoxtailError,
) -> None:
    failed = retry.FailedAttempt(
        service=routed.service,
        attempts=attempts,
        verdict=routed.verdict,
        is_idempotent=routed.is_idempotent,
        deadline_ms=routed.caller.deadline_ms,
        retry_after_ms=exc.retry_after_ms,
    )
    budget = ctx.mid_stream_budget if routed.is_mid_stream else ctx.budget
    plan = retry.plan_retry(
        failed, budget, ctx.retry_options, ctx.rng, ctx.clock.now()
    )
    line = f'{exc}; retry {plan.reason.value}.'
    ctx.log_decision('RETRY', routed.caller, line)
    if plan.reason is retry.RetryReason.BUDGET:
        raise errors.RequestError(
            errors.ErrorCode.RETRY_BUDGET_EXHAUSTED,
            f'expected a retry within the retry budget, got a budget '
            f'exhausted by too many failures; the last one was {exc}',
            routed.verdict,
            exc.retry_after_ms or OVERLOAD_RETRY_AFTER_MS,
        )
    if not plan.is_allowed:
        # The merged verdict: an earlier attempt may have run even if the
        # last one did not.
        exc.verdict = routed.verdict
        raise exc
    ctx.metrics.count('retries')
    await clock_lib.sleep_ms(plan.delay_ms)


def _make_exhausted_error(
    routed: RoutedRequest, refusals: list[errors.FoxtailError]
) -> errors.RequestError:
    if not refusals:
        return errors.RequestError(
            errors.ErrorCode.NO_ENDPOINT,
            f'expected an endpoint of {routed.service}, found none that the '
            f'account may use; check the status of the fleet',
            routed.verdict,
            OVERLOAD_RETRY_AFTER_MS,
        )
    waits_ms = [
        exc.retry_after_ms
        for exc in refusals
        if exc.retry_after_ms is not None
    ]
    if any(exc.code is errors.ErrorCode.ATTEMPT_CLOSED for exc in refusals):
        waits_ms.append(LINK_RETRY_AFTER_MS)
    return errors.RequestError(
        errors.ErrorCode.OVERLOADED,
        f'expected one of {len(refusals)} endpoints to admit the request, '
        f'all refused, the last with {refusals[-1]}; retry after the given '
        f'time',
        routed.verdict,
        min(waits_ms, default=OVERLOAD_RETRY_AFTER_MS),
    )
