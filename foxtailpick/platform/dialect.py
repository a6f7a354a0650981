"""Codec of the platform's request and response headers."""

import email.utils
import math
import time
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import short_ids
from foxtailpick.core import types

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'host',
    )
)
# Headers that only this system may set; a caller's are dropped.
_SYSTEM_HEADERS = frozenset(
    (
        b'x-key',
        b'x-tenant',
        b'x-expect-instance',
        b'x-request-priority',
        b'x-kv-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
        b'x-deadline-ms',
        b'last-event-id',
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | _SYSTEM_HEADERS
_LOWEST_PRIORITY = 9
# Number of requests beyond which a load report is invalid.
_MAX_LOAD = 1_000_000
# Time that work takes, in percent, on a machine that is as fast as usual,
# and figure beyond which a load report is invalid.
_USUAL_PACE = 100
_MAX_PACE = 100_000
# Digits of the largest valid figure.
_MAX_DIGITS = 7
# Tokens of a prompt or an answer beyond which a statement is invalid.
_MAX_TOKENS = 10_000_000
_MAX_TOKEN_DIGITS = 8


def decode_request(
    headers: typing.Sequence[model.RawHeader],
) -> model.RequestMeta:
    """Decode the headers of a caller's request.

    :param headers: pairs of lower-case name and value.
    :raises ValueError: if a header that is decoded is malformed.
    """
    values = dict(headers)
    dropped = _NOT_FORWARDED | _list_connection_headers(values)
    deadline = values.get(b'x-deadline-ms')
    prompt_tokens, output_tokens = _parse_counts(values.get(b'x-token-count'))
    last_event = values.get(b'last-event-id')
    return model.RequestMeta(
        id=types.RequestId(values.get(b'x-attempt-id', b'').decode('ascii')),
        deadline_ms=None if deadline is None else float(deadline),
        key=_decode_optional(values.get(b'x-key')),
        parts=_parse_parts(values.get(b'x-prefix-hash')),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        last_event_id=_decode_optional(last_event),
        resumes=_decode_resumed(values.get(b'resumes')),
        forwarded=[item for item in headers if item[0] not in dropped],
    )


def encode_request(
    meta: model.RequestMeta,
    endpoint: types.EndpointId,
    account: model.Account | None,
    priority: int,
    left_ms: float,
    last_event_id: str | None,
    fetch_from: model.Address | None,
) -> list[model.RawHeader]:
    """Encode the headers of a request to an endpoint.

    :param meta: the caller's headers.
    :param endpoint: the only endpoint that may execute the request.
    :param account: the account of the request, if any.
    :param priority: priority of the request, 0 is the most urgent.
    :param left_ms: time left until the deadline.
    :param last_event_id: event after which the stream continues, if any.
    :param fetch_from: address of an endpoint that has part of the prompt
        cached, if any.
    """
    headers = list(meta.forwarded)
    headers.append((b'X-Expect-Instance', endpoint.encode()))
    headers.append((b'X-Deadline-Ms', b'%d' % max(1, int(left_ms))))
    if account is not None:
        headers.append((b'X-Tenant', account.name.encode()))
    if meta.parts:
        level = min(max(priority, 0), _LOWEST_PRIORITY)
        headers.append((b'X-Request-Priority', b'%d' % level))
    if fetch_from is not None:
        headers.append((b'Kv-Fetch', b'%s:%d' % _encode_address(fetch_from)))
    if last_event_id is not None:
        headers.append((b'Last-Event-Id', last_event_id.encode()))
    return headers


def encode_caller(
    request: str, key: str, deadline_ms: float
) -> list[model.RawHeader]:
    """Encode the headers that every caller sends.

    :param request: id of the client attempt.
    :param key: key of the caller's account.
    :param deadline_ms: how long the caller waits.
    """
    return [
        (b'X-Attempt-Id', request.encode()),
        (b'X-Key', key.encode()),
        (b'X-Deadline-Ms', b'%d' % deadline_ms),
    ]


def encode_prompt(
    parts: typing.Sequence[model.PromptPart], output_tokens: int
) -> list[model.RawHeader]:
    """Encode the headers that describe a prompt.

    :param parts: the parts of the prompt, in order.
    :param output_tokens: maximum length of the answer.
    """
    listed = ','.join(f'{part.id}:{part.tokens}' for part in parts)
    tokens = sum(part.tokens for part in parts)
    return [
        (b'X-Prefix-Hash', listed.encode()),
        (b'X-Token-Count', b'%d,%d' % (tokens, output_tokens)),
    ]


def decode_response(
    headers: typing.Sequence[model.RawHeader],
) -> model.ResponseMeta:
    """Decode the headers of an endpoint's response.

    :param headers: pairs of lower-case name and value.
    """
    meta = model.ResponseMeta()
    for name, value in headers:
        if name == b'x-attempt-id':
            meta.request = _merge_ids(meta.request, value)
        elif name == b'x-server-stamp':
            meta.is_signed = True
            meta.signature = (name, value)
            continue
        elif name == b'x-not-executed':
            meta.is_not_run = True
            continue
        elif name == b'x-server-load':
            meta.load = _parse_load(value)
            if meta.load is None:
                meta.bad_load = value.decode('latin-1')
            continue
        elif name == b'content-encoding':
            meta.is_encoded = True
        elif name == b'connection':
            meta.is_closing = b'close' in value.lower()
        elif name == b'keep-alive':
            meta.keep_alive_ms = _parse_keep_alive(value)
        elif name == b'retry-after':
            meta.retry_after_ms = _parse_retry_after(value)
            if meta.retry_after_ms is None:
                meta.bad_retry_after = value.decode('latin-1')
        elif name == b'server-leaving':
            meta.is_leaving = value.strip() == b'1'
            continue
        elif name == b'server-limit':
            meta.rate_limit_per_s = _parse_rate(value)
            if meta.rate_limit_per_s is None:
                meta.bad_rate_limit = value.decode('latin-1')
            continue
        if name not in _HOP_BY_HOP:
            meta.forwarded.append((name, value))
    return meta


def _merge_ids(known: types.RequestId | None, value: bytes) -> types.RequestId:
    """Return the id of a response; several that differ match no request."""
    text = value.decode('latin-1')
    if known is not None and known != text:
        text = f'{known},{text}'
    return types.RequestId(text)


def _list_connection_headers(
    values: typing.Mapping[bytes, bytes],
) -> frozenset[bytes]:
    named = values.get(b'connection')
    if not named:
        return frozenset()
    return frozenset(part.strip().lower() for part in named.split(b','))


def _encode_address(address: model.Address) -> tuple[bytes, int]:
    host, port = address
    return host.encode(), port


def _decode_optional(value: bytes | None) -> str | None:
    return None if value is None else value.decode('latin-1')


def _decode_resumed(value: bytes | None) -> types.RequestId | None:
    return types.RequestId(value.decode('latin-1')) if value else None


def _parse_counts(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.partition(b',')
    return _parse_tokens(prompt), _parse_tokens(output or b'0')


def _parse_tokens(value: bytes) -> int:
    """Return a number of tokens.

    :param value: the number as text.
    :raises ValueError: if it is no number of tokens, or an absurd one.
    """
    text = value.strip()
    if not text.isdigit() or len(text) > _MAX_TOKEN_DIGITS:
        raise ValueError(f'expected a number of tokens, got {value[:40]!r}')
    tokens = int(text)
    if tokens > _MAX_TOKENS:
        raise ValueError(
            f'expected at most {_MAX_TOKENS} tokens, got {tokens}'
        )
    return tokens


def _parse_parts(value: bytes | None) -> tuple[model.PromptPart, ...]:
    if not value:
        return ()
    pairs = (part.partition(':') for part in value.decode('ascii').split(','))
    return tuple(
        model.PromptPart(
            types.PartId(short_ids.shorten(part.strip())),
            _parse_tokens(tokens.encode()),
        )
        for part, _, tokens in pairs
    )


def _parse_load(value: bytes) -> model.LoadReport | None:
    """Return the reported load, None if the report is invalid.

    Endpoints on shared machines add how long work takes there at the moment,
    in percent of the usual time.
    """
    parts = [part.strip() for part in value.split(b',')]
    if not all(part.isdigit() and len(part) <= _MAX_DIGITS for part in parts):
        return None
    figures = [int(part) for part in parts]
    if len(figures) not in (3, 4) or max(figures[:3]) > _MAX_LOAD:
        return None
    if len(figures) == 3:
        return model.LoadReport(*figures)
    *counts, pace = figures
    if not 0 < pace <= _MAX_PACE:
        return None
    return model.LoadReport(*counts, pace / _USUAL_PACE)


def _parse_keep_alive(value: bytes) -> float | None:
    for part in value.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number) * types.SECOND_MS
    return None


def _parse_rate(value: bytes) -> float | None:
    """Return a rate per second, None if it is invalid."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


def _parse_retry_after(value: bytes) -> float | None:
    """Return the time in ms of seconds or an HTTP date, None if invalid."""
    text = value.decode('latin-1').strip()
    try:
        seconds = float(text)
    except ValueError:
        try:
            date = email.utils.parsedate_to_datetime(text)
            seconds = max(0.0, date.timestamp() - time.time())
        except (ValueError, OverflowError):
            return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return seconds * types.SECOND_MS
