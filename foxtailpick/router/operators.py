"""HTTP application of a router for operators."""

import dataclasses
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.adapters import http_connections
from foxtailpick.core import config_answers
from foxtailpick.core import config_writer
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.node import health
from foxtailpick.node import request_bodies
from foxtailpick.router import app as app_lib
from foxtailpick.router import context as context_lib

INI_TYPE = 'text/plain'
MAX_HISTORY = 200
DEFAULT_HISTORY = 20

_STATUS_BY_OUTCOME = {
    config_answers.Outcome.ACCEPTED: 200,
    config_answers.Outcome.REJECTED: 409,
    config_answers.Outcome.UNKNOWN: 503,
}


def make_operator_app(
    ctx: context_lib.RouterContext,
    writer: config_writer.ConfigWriter,
) -> typing.Any:
    """Create the application for operators.

    :param ctx: state of the router.
    :param writer: submits patches.
    """

    async def show(req: requests.Request) -> responses.Response:
        cfg = await writer.reader.load_chunks(ctx.read_config())
        return responses.Response(
            f'# number {cfg.number}\n{cfg.to_ini()}', media_type=INI_TYPE
        )

    async def submit(req: requests.Request) -> responses.Response:
        text = (await request_bodies.read_body(req)).decode('utf-8', 'replace')
        answer = await writer.submit(text)
        ctx.node.on_accepted(answer)
        return responses.JSONResponse(
            _format_answer(answer), _STATUS_BY_OUTCOME[answer.outcome]
        )

    async def history(req: requests.Request) -> responses.Response:
        count = _parse_count(req.query_params.get('count'))
        found = await writer.reader.read_head()
        if found is None:
            return responses.JSONResponse({'history': []})
        deltas = await writer.reader.read_history(found[0].number, count)
        return responses.JSONResponse(
            {'history': [delta.describe() for delta in deltas]}
        )

    async def explain(req: requests.Request) -> responses.Response:
        request = types.RequestId(req.path_params['request'])
        lines = ctx.decisions.find(request)
        if not lines:
            raise errors.RequestError(
                errors.ErrorCode.REQUEST_MALFORMED,
                f'request: expected a recent request of this router, got '
                f'{request!r}; ask the router that answered it',
            )
        return responses.JSONResponse({'lines': lines})

    async def status(req: requests.Request) -> responses.Response:
        return responses.JSONResponse(make_status(ctx))

    async def metrics(req: requests.Request) -> responses.Response:
        lines = [
            *ctx.metrics.format_lines(),
            *http_connections.format_metrics(),
            *health.format_invariants(ctx.monitor),
        ]
        return responses.PlainTextResponse('\n'.join(lines) + '\n')

    handle_errors = app_lib.handle_errors
    return applications.Starlette(
        routes=[
            routing.Route('/v1/config', handle_errors(show)),
            routing.Route(
                '/v1/config/patches', handle_errors(submit), methods=['POST']
            ),
            routing.Route('/v1/config/history', handle_errors(history)),
            routing.Route('/v1/explain/{request}', handle_errors(explain)),
            routing.Route('/v1/status', handle_errors(status)),
            routing.Route('/metrics', handle_errors(metrics)),
            *health.make_routes(lambda: app_lib.is_ready(ctx)),
        ]
    )


def make_status(ctx: context_lib.RouterContext) -> dict:
    """Return the status of a router and its view of the fleet.

    :param ctx: state of the router.
    """
    cfg = ctx.read_config()
    avoided = ctx.fleet.list_avoided()
    return {
        'router': ctx.cfg.node.id,
        'number': cfg.number,
        'is_ready': app_lib.is_ready(ctx),
        'in_flight': len(ctx.active_scopes),
        'links': len(ctx.links.list_open()),
        'domains': {
            domain: item.state.value for domain, item in cfg.domains.items()
        },
        'members': [
            {
                **dataclasses.asdict(status.member),
                'state': status.state.value,
                'reason': status.reason.value,
                'is_avoided': status.member.endpoint in avoided,
            }
            for status in ctx.fleet.list_statuses()
        ],
    }


def _format_answer(answer: config_answers.PatchAnswer) -> dict:
    return {
        'outcome': answer.outcome.value,
        'number': answer.number,
        'code': answer.code.value if answer.code else None,
        'message': answer.message,
        'since': [delta.describe() for delta in answer.since],
    }


def _parse_count(text: str | None) -> int:
    if text is None:
        return DEFAULT_HISTORY
    if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY:
        raise errors.RequestError(
            errors.ErrorCode.REQUEST_MALFORMED,
            f'count: expected 1 to {MAX_HISTORY}, got {text!r}; correct it',
        )
    return int(text)
