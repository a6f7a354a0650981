"""Streamed and unstreamed responses to chat completions."""

import json
import time
import typing

from starlette import requests
from starlette import responses
import trio

from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.router import chats
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs
from foxtailpick.router import problems

EVENT_STREAM = 'text/event-stream'
HTTP_CLIENT_CLOSED = 499

Result = typing.TypeVar('Result')


async def run_unless_disconnected(
    receive: typing.Callable[[], typing.Awaitable[dict]],
    run: typing.Callable[[], typing.Awaitable[None]],
) -> bool:
    """Run a function and cancel it if the caller disconnects.

    :param receive: ASGI receive function, after the body was read.
    :param run: the function.
    :returns: whether it completed.
    """
    is_done = False
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            message = await receive()
            while message['type'] != 'http.disconnect':
                message = await receive()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        await run()
        is_done = True
        nursery.cancel_scope.cancel()
    return is_done


class ChatStream:
    """An ASGI response that streams a chat completion.

    The status line is sent with the first token, so that a failure before
    it gets an HTTP error status.

    :param ctx: state of the router.
    :param router: routes the completion.
    :param job: the request.
    """

    def __init__(
        self,
        ctx: context_lib.RouterContext,
        router: chats.ChatRouter,
        job: jobs.ChatJob,
    ) -> None:
        self._ctx = ctx
        self._router = router
        self._job = job
        self._is_started = False
        self._is_ended = False
        self._send: typing.Callable | None = None
        self._started_ms = ctx.clock.now()
        self._last_ms = self._started_ms

    async def __call__(
        self,
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        """Answer the request."""
        self._send = send

        async def run() -> None:
            try:
                result = await self._router.run(self._job, self._deliver)
            except errors.FoxtailError as exc:
                await self._fail(exc, scope, receive, send)
                return
            await self._finish(result)

        await run_unless_disconnected(receive, run)
        if not self._is_ended:
            self._ctx.metrics.count('chats_abandoned')

    async def _deliver(self, tokens: list[chats.Token]) -> None:
        now_ms = self._ctx.clock.now()
        if not self._is_started:
            await self._start(tokens[0].position.endpoint)
            self._ctx.metrics.record_ms(
                'first_token', now_ms - self._started_ms
            )
        else:
            self._ctx.metrics.record_ms('token_gap', now_ms - self._last_ms)
        self._last_ms = now_ms
        self._ctx.metrics.count('tokens', len(tokens))
        body = b''.join(self._format_token(token) for token in tokens)
        await self._send_body(body)

    async def _start(self, endpoint: types.EndpointId) -> None:
        self._is_started = True
        hint = ''
        member = self._ctx.fleet.table.get_member(endpoint)
        if member is not None:
            hint = self._ctx.make_hint(endpoint, member.incarnation).to_text()
        response = responses.Response(
            media_type=EVENT_STREAM,
            headers={
                jobs.HEADER_REQUEST: self._job.caller.request,
                jobs.HEADER_CHAT: self._job.chat,
                jobs.HEADER_LOCATION: hint,
                'cache-control': 'no-cache',
            },
        )
        del response.headers['content-length']
        await self._send(
            {
                'type': 'http.response.start',
                'status': response.status_code,
                'headers': response.raw_headers,
            }
        )

    async def _finish(self, result: chats.ChatResult) -> None:
        if not self._is_started:
            await self._start(result.endpoint)
        choice = {
            'index': 0,
            'delta': {},
            'finish_reason': result.finished.finish_reason,
        }
        chunk = self._make_chunk(choice)
        chunk['usage'] = make_usage(result)
        body = f'data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n'.encode()
        self._ctx.metrics.count('chats_answered')
        # Set before the last part is sent: sending it makes the server
        # report a disconnect, which would count as an abandoned chat.
        self._is_ended = True
        await self._send_body(body, is_more=False)

    async def _fail(
        self,
        exc: errors.FoxtailError,
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        self._ctx.metrics.count('chats_failed')
        self._ctx.metrics.count(f'failed_{exc.code.name.lower()}')
        self._is_ended = True
        if not self._is_started:
            response = problems.make_response(exc, self._job.caller.request)
            await response(scope, receive, send)
            return
        problem = problems.make_body(exc, self._job.caller.request)
        body = f'event: error\ndata: {json.dumps(problem)}\n\n'.encode()
        await self._send_body(body, is_more=False)

    async def _send_body(self, body: bytes, is_more: bool = True) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': is_more,
            }
        )

    def _format_token(self, token: chats.Token) -> bytes:
        choice = {
            'index': 0,
            'delta': {'content': token.text},
            'finish_reason': None,
        }
        data = json.dumps(self._make_chunk(choice), separators=(',', ':'))
        return f'id: {token.position.to_text()}\ndata: {data}\n\n'.encode()

    def _make_chunk(self, choice: dict) -> dict:
        return {
            'id': self._job.caller.request,
            'object': 'chat.completion.chunk',
            'model': self._job.request.model,
            'choices': [choice],
        }


def make_usage(result: chats.ChatResult) -> dict:
    """Return the `usage` object of a completion.

    :param result: summary of the finished answer.
    """
    prompt = result.finished.prompt_tokens
    return {
        'prompt_tokens': prompt,
        'completion_tokens': result.token_count,
        'total_tokens': prompt + result.token_count,
        'prompt_tokens_details': {
            'cached_tokens': result.finished.cached_tokens
        },
    }


async def run_for_caller(
    req: requests.Request,
    run: typing.Callable[[], typing.Awaitable[Result]],
) -> Result | None:
    """Run a function for a caller who may disconnect.

    :param req: the HTTP request, after its body was read.
    :param run: the function.
    :returns: its result, None if the caller disconnected.
    :raises errors.FoxtailError: the error that `run` raised.
    """
    results: list[Result] = []
    failures: list[errors.FoxtailError] = []

    async def capture_outcome() -> None:
        # Raised outside the nursery, which would wrap it in a group.
        try:
            results.append(await run())
        except errors.FoxtailError as exc:
            failures.append(exc)

    await run_unless_disconnected(req.receive, capture_outcome)
    if failures:
        raise failures[0]
    return results[0] if results else None


async def answer_unstreamed(
    ctx: context_lib.RouterContext,
    router: chats.ChatRouter,
    job: jobs.ChatJob,
    req: requests.Request,
) -> responses.Response:
    """Answer a completion without streaming.

    :param ctx: state of the router.
    :param router: routes the completion.
    :param job: the request.
    :param req: the HTTP request; a disconnect cancels the completion.
    :raises errors.FoxtailError: if it cannot be completed.
    """
    texts: list[str] = []

    async def collect(tokens: list[chats.Token]) -> None:
        texts.extend(token.text for token in tokens)

    try:
        result = await run_for_caller(req, lambda: router.run(job, collect))
    except errors.FoxtailError:
        ctx.metrics.count('chats_failed')
        raise
    if result is None:
        ctx.metrics.count('chats_abandoned')
        return responses.Response(status_code=HTTP_CLIENT_CLOSED)
    ctx.metrics.count('chats_answered')
    hint = ctx.make_hint(result.endpoint, result.incarnation)
    return _make_completion(job, result, ''.join(texts), hint)


def _make_completion(
    job: jobs.ChatJob,
    result: chats.ChatResult,
    text: str,
    hint: decision.LocationHint,
) -> responses.Response:
    body = {
        'id': job.caller.request,
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': job.request.model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': result.finished.finish_reason,
            }
        ],
        'usage': make_usage(result),
    }
    headers = {
        jobs.HEADER_REQUEST: job.caller.request,
        jobs.HEADER_CHAT: job.chat,
        jobs.HEADER_LOCATION: hint.to_text(),
    }
    return responses.JSONResponse(body, headers=headers)
