"""HTTP application of a router for callers."""

import functools
import typing

from loguru import logger
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.core import chat_request
from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import health
from foxtailpick.node import request_bodies
from foxtailpick.router import calls
from foxtailpick.router import chats
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs
from foxtailpick.router import problems
from foxtailpick.router import responses as router_responses

CHAT_PATH = '/v1/chat/completions'
CALL_PATH = '/v1/services/{service}/{path:path}'
SAFE_METHODS = frozenset({'GET', 'HEAD'})
CALL_METHODS = ('GET', 'POST', 'PUT', 'DELETE')

Handler = typing.Callable[
    [requests.Request], typing.Awaitable[responses.Response]
]


def make_caller_app(ctx: context_lib.RouterContext) -> typing.Any:
    """Create the application for callers.

    :param ctx: state of the router.
    """
    chat_router = chats.ChatRouter(ctx)

    async def complete_chat(req: requests.Request) -> typing.Any:
        _require_ready(ctx)
        job = await _read_chat_job(ctx, req)
        ctx.metrics.count('chats')
        if job.request.is_stream:
            return router_responses.ChatStream(ctx, chat_router, job)
        return await router_responses.answer_unstreamed(
            ctx, chat_router, job, req
        )

    call_router = calls.CallRouter(ctx)

    async def call_service(req: requests.Request) -> responses.Response:
        _require_ready(ctx)
        job = await _read_call_job(ctx, req)
        ctx.metrics.count('calls')
        answer = await router_responses.run_for_caller(
            req, lambda: call_router.run(job)
        )
        if answer is None:
            return responses.Response(
                status_code=router_responses.HTTP_CLIENT_CLOSED
            )
        return responses.Response(
            answer.body,
            answer.status,
            {jobs.HEADER_REQUEST: job.caller.request},
            answer.content_type,
        )

    routes = [
        routing.Route(
            CALL_PATH, handle_errors(call_service), methods=list(CALL_METHODS)
        ),
        routing.Route(
            CHAT_PATH, handle_errors(complete_chat), methods=['POST']
        ),
        *health.make_routes(lambda: is_ready(ctx)),
    ]
    return _count_requests(ctx, applications.Starlette(routes=routes))


def _count_requests(
    ctx: context_lib.RouterContext, app: typing.Any
) -> typing.Any:
    """Count open requests, starting before anything is awaited.

    The shutdown waits for all of them, including those whose body or
    account is still being loaded.
    """

    async def serve(
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        if scope['type'] != 'http':
            await app(scope, receive, send)
            return
        ctx.open_requests += 1
        try:
            await _serve_with_error_response(app, scope, receive, send)
        finally:
            ctx.open_requests -= 1

    return serve


async def _serve_with_error_response(
    app: typing.Any,
    scope: typing.Any,
    receive: typing.Callable,
    send: typing.Callable,
) -> None:
    is_started = False

    async def send_and_track_start(message: dict) -> None:
        nonlocal is_started
        is_started = True
        await send(message)

    try:
        await app(scope, receive, send_and_track_start)
    except Exception:
        logger.exception('ROUTER request failed.')
        if is_started:
            raise
        response = problems.make_response(_make_internal_error())
        await response(scope, receive, send)


def _make_internal_error() -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.INVARIANT_BROKEN,
        'expected an answer, got an internal error of the router; see its log',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


def is_ready(ctx: context_lib.RouterContext) -> bool:
    """Tell whether a router can accept requests.

    :param ctx: state of the router.
    """
    is_loaded = ctx.node.is_ready() and ctx.fleet.loaded.is_set()
    is_isolated = ctx.fleet.is_node_isolated()
    return is_loaded and not is_isolated and not ctx.is_stopping


def handle_errors(handler: Handler) -> Handler:
    """Return a handler that converts errors to problem details.

    :param handler: the handler to wrap.
    """

    @functools.wraps(handler)
    async def serve(req: requests.Request) -> responses.Response:
        try:
            return await handler(req)
        except errors.FoxtailError as exc:
            return problems.make_response(exc)

    return serve


def _require_ready(ctx: context_lib.RouterContext) -> None:
    if is_ready(ctx):
        return
    raise errors.RequestError(
        errors.ErrorCode.SHUTTING_DOWN,
        'expected a router that accepts requests, got one that is not '
        'ready; use another router',
        retry_after_ms=types.SECOND_MS,
    )


async def _read_caller(
    ctx: context_lib.RouterContext, req: requests.Request
) -> jobs.Caller:
    now_ms = ctx.clock.now()
    account = jobs.parse_account_name(req.headers)
    await ctx.node.require_account(account)
    return jobs.parse_caller(
        req.headers,
        ctx.read_config(),
        now_ms,
        ctx.cfg.limits.default_deadline,
    )


async def _read_chat_job(
    ctx: context_lib.RouterContext, req: requests.Request
) -> jobs.ChatJob:
    caller = await _read_caller(ctx, req)
    body = await request_bodies.read_body(req)
    return jobs.ChatJob(
        caller=caller,
        chat=types.ChatId(jobs.parse_name(req.headers, jobs.HEADER_CHAT)),
        body=body,
        request=chat_request.ChatRequest.from_json(body),
        hint=decision.LocationHint.from_text(
            req.headers.get(jobs.HEADER_LOCATION, '')
        ),
        position=jobs.StreamPosition.from_text(
            req.headers.get(jobs.HEADER_RESUME, '')
        ),
    )


async def _read_call_job(
    ctx: context_lib.RouterContext, req: requests.Request
) -> jobs.CallJob:
    caller = await _read_caller(ctx, req)
    cfg = ctx.read_config()
    service = cfg.services.get(req.path_params['service'])
    if service is None or service.kind is not types.EndpointKind.PLAIN:
        raise errors.RequestError(
            errors.ErrorCode.SERVICE_UNKNOWN,
            f'service: expected a plain service, got '
            f'{req.path_params["service"]!r:.60}; correct the path',
        )
    path = '/' + req.path_params['path']
    is_safe = req.method in SAFE_METHODS
    is_idempotent = is_safe or service.is_idempotent_path(path)
    key = _read_key(req, is_idempotent)
    if req.url.query:
        path = f'{path}?{req.url.query}'
    return jobs.CallJob(
        caller=caller,
        service=service.service,
        method=req.method,
        path=path,
        key=key,
        content_type=req.headers.get('content-type', ''),
        body=await request_bodies.read_body(req),
        is_idempotent=is_idempotent,
    )


def _read_key(
    req: requests.Request, is_idempotent: bool
) -> types.IdempotencyKey:
    if jobs.HEADER_KEY in req.headers:
        return types.IdempotencyKey(
            jobs.parse_name(req.headers, jobs.HEADER_KEY)
        )
    if is_idempotent:
        return types.IdempotencyKey('')
    # Without a key, a repeated call cannot be told from a new one.
    raise jobs.make_header_error(
        jobs.HEADER_KEY, 'a key for a call that runs at most once', ''
    )
