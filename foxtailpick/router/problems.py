"""Problem details (RFC 9457) of errors, with code and verdict."""

import json
import math

from starlette import responses

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

MEDIA_TYPE = 'application/problem+json'

_STATUS_BY_CODE = {
    errors.ErrorCode.REQUEST_MALFORMED: 400,
    errors.ErrorCode.PATCH_MALFORMED: 400,
    errors.ErrorCode.ACCOUNT_UNKNOWN: 401,
    errors.ErrorCode.MODEL_UNKNOWN: 404,
    errors.ErrorCode.SERVICE_UNKNOWN: 404,
    errors.ErrorCode.PATCH_OUTDATED: 409,
    errors.ErrorCode.CALL_IN_PROGRESS: 409,
    errors.ErrorCode.PATCH_INVALID: 422,
    errors.ErrorCode.KEY_REUSED: 422,
    errors.ErrorCode.ACCOUNT_OVER_SHARE: 429,
    errors.ErrorCode.INVARIANT_BROKEN: 500,
    errors.ErrorCode.OVERLOADED: 503,
    errors.ErrorCode.ENDPOINT_FAILED: 502,
    errors.ErrorCode.LINK_LOST: 502,
    errors.ErrorCode.OUTCOME_UNKNOWN: 502,
    errors.ErrorCode.PATCH_OUTCOME_UNKNOWN: 502,
    errors.ErrorCode.DEADLINE_EXCEEDED: 504,
}
_DEFAULT_STATUS = 503
_CANCELLED_STATUS = 499
# Callers take these as a promise that the request never runs.
_REFUSAL_STATUSES = frozenset((429, 503))
_FAILED_STATUS = 502


def get_status(exc: errors.FoxtailError) -> int:
    """Return the HTTP status of an error."""
    if exc.code is errors.ErrorCode.CANCELLED:
        return _CANCELLED_STATUS
    status = _STATUS_BY_CODE.get(exc.code, _DEFAULT_STATUS)
    has_not_run = exc.verdict is verdict_lib.Verdict.NOT_RUN
    if status in _REFUSAL_STATUSES and not has_not_run:
        return _FAILED_STATUS
    return status


def make_body(exc: errors.FoxtailError, request: str = '') -> dict:
    """Return the problem details of an error as a JSON object.

    :param exc: the error.
    :param request: id of the request, empty for none.
    """
    body = {
        'type': f'urn:foxtailpick:error:{exc.code.value}',
        'title': exc.code.name.lower().replace('_', ' '),
        'status': get_status(exc),
        'detail': exc.message,
        'code': exc.code.value,
        'verdict': exc.verdict.value,
    }
    if request:
        body['request'] = request
    if exc.retry_after_ms is not None:
        body['retry_after_ms'] = exc.retry_after_ms
    return body


def make_response(
    exc: errors.FoxtailError, request: str = ''
) -> responses.Response:
    """Return the HTTP response for an error.

    :param exc: the error.
    :param request: id of the request, empty for none.
    """
    headers = {}
    if exc.code is errors.ErrorCode.SHUTTING_DOWN:
        headers['Connection'] = 'close'
    if exc.retry_after_ms is not None:
        seconds = math.ceil(exc.retry_after_ms / types.SECOND_MS)
        headers['Retry-After'] = str(seconds)
    return responses.Response(
        json.dumps(make_body(exc, request)),
        status_code=get_status(exc),
        headers=headers,
        media_type=MEDIA_TYPE,
    )
