"""Requests of callers, parsed from their HTTP headers and bodies."""

import dataclasses
import typing
import uuid

from foxtailpick.core import chat_request
from foxtailpick.core import configuration
from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import types

HEADER_CHAT = 'foxtailpick-chat'
HEADER_DEADLINE = 'foxtailpick-deadline-ms'
HEADER_LOCATION = 'foxtailpick-location'
HEADER_PRIORITY = 'foxtailpick-priority'
HEADER_REQUEST = 'foxtailpick-request'
HEADER_RESUME = 'last-event-id'
HEADER_KEY = 'idempotency-key'

_BEARER = 'Bearer '
_EVENT_ID_PARTS = 4
_MAX_HEADER_CHARS = 200
_MAX_DEADLINE_MS = 3_600_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPosition:
    """Position of a caller in a stream, carried as the SSE event id.

    :param endpoint: the endpoint that streams.
    :param attempt: the attempt that streams.
    :param base: index of the attempt's first token in the answer.
    :param number: chunks of the attempt received so far.
    """

    endpoint: types.EndpointId
    attempt: types.AttemptId
    base: int
    number: int

    @classmethod
    def from_text(cls, text: str) -> typing.Optional['StreamPosition']:
        """Parse the text form; return None if it is malformed.

        :param text: `endpoint;attempt;base;number`.
        """
        parts = text.split(';')
        if len(parts) != _EVENT_ID_PARTS:
            return None
        endpoint, attempt, base, number = parts
        if not (endpoint and attempt and base.isdecimal()):
            return None
        if not number.isdecimal():
            return None
        return cls(
            types.EndpointId(endpoint),
            types.AttemptId(attempt),
            int(base),
            int(number),
        )

    def to_text(self) -> str:
        """Return the text form."""
        return f'{self.endpoint};{self.attempt};{self.base};{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The caller of one request, with deadline and priority.

    :param request: id of the request.
    :param account: the client account that is charged.
    :param deadline_ms: deadline of the complete answer, on the local
        clock.
    :param priority: scheduling class.
    """

    request: types.RequestId
    account: configuration.AccountConfig
    deadline_ms: float
    priority: types.Priority


@dataclasses.dataclass(frozen=True, slots=True)
class ChatJob:
    """A chat completion to route.

    :param caller: the caller.
    :param chat: the chat that it continues.
    :param body: the raw request body.
    :param request: the parsed request body.
    :param hint: where the chat ran last.
    :param position: where to resume, None for a new answer.
    """

    caller: Caller
    chat: types.ChatId
    body: bytes
    request: chat_request.ChatRequest
    hint: decision.LocationHint | None = None
    position: StreamPosition | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallJob:
    """A call of a plain service to route.

    :param caller: the caller.
    :param service: the service.
    :param method: HTTP method.
    :param path: path and query below the service.
    :param key: idempotency key, empty for none.
    :param content_type: media type of the body.
    :param body: request body.
    :param is_idempotent: whether the call can safely run more than once.
    """

    caller: Caller
    service: types.ServiceId
    method: str
    path: str
    key: types.IdempotencyKey
    content_type: str
    body: bytes
    is_idempotent: bool


def make_id() -> str:
    """Return a new id for a request or an attempt."""
    return uuid.uuid4().hex


def parse_caller(
    headers: typing.Mapping[str, str],
    cfg: configuration.Configuration,
    now_ms: float,
    default_deadline_ms: float,
) -> Caller:
    """Authenticate the caller of a request and parse its headers.

    :param headers: HTTP headers, looked up in lower case.
    :param cfg: the configuration in force.
    :param now_ms: the current time.
    :param default_deadline_ms: timeout of a request without a deadline.
    :raises errors.RequestError: with code `ACCOUNT_UNKNOWN` or
        `REQUEST_MALFORMED`.
    """
    account = _find_account(headers, cfg)
    duration_ms = _parse_deadline(headers, default_deadline_ms)
    return Caller(
        request=types.RequestId(parse_name(headers, HEADER_REQUEST)),
        account=account,
        deadline_ms=now_ms + duration_ms,
        priority=_parse_priority(headers, account),
    )


def parse_account_name(
    headers: typing.Mapping[str, str],
) -> types.AccountId:
    """Return the account named in the credential, without verifying it.

    :param headers: HTTP headers.
    """
    text = headers.get('authorization', '').removeprefix(_BEARER)
    name = text.partition(configuration.CREDENTIAL_DELIMITER)[0]
    return types.AccountId(name)


def parse_name(headers: typing.Mapping[str, str], name: str) -> str:
    """Return the id in a header, or a new one if the header is absent.

    :param headers: HTTP headers.
    :param name: name of the header.
    :raises errors.RequestError: if it is too long or not printable.
    """
    text = headers.get(name, '')
    if len(text) > _MAX_HEADER_CHARS or not text.isprintable():
        raise make_header_error(
            name, f'at most {_MAX_HEADER_CHARS} printable characters', text
        )
    return text or make_id()


def make_header_error(
    name: str, expected: str, actual: str
) -> errors.RequestError:
    """Return the error for an invalid header.

    :param name: name of the header.
    :param expected: description of valid values.
    :param actual: the value received.
    """
    return errors.RequestError(
        errors.ErrorCode.REQUEST_MALFORMED,
        f'{name}: expected {expected}, got {actual!r:.60}; correct the header',
    )


def _find_account(
    headers: typing.Mapping[str, str], cfg: configuration.Configuration
) -> configuration.AccountConfig:
    text = headers.get('authorization', '')
    account = None
    if text.startswith(_BEARER):
        account = cfg.find_account_by_credential(text[len(_BEARER) :])
    if account is None:
        # The credential must not appear in logs or responses.
        raise errors.RequestError(
            errors.ErrorCode.ACCOUNT_UNKNOWN,
            'authorization: expected the credential of a client account, '
            'got a missing or unknown one; check ACCOUNT:SECRET',
        )
    return account


def _parse_deadline(
    headers: typing.Mapping[str, str], default_ms: float
) -> float:
    text = headers.get(HEADER_DEADLINE)
    if text is None:
        return default_ms
    if not text.isdecimal() or not 0 < int(text) <= _MAX_DEADLINE_MS:
        raise make_header_error(
            HEADER_DEADLINE, f'1 to {_MAX_DEADLINE_MS:.0f} ms', text
        )
    return float(text)


def _parse_priority(
    headers: typing.Mapping[str, str], account: configuration.AccountConfig
) -> types.Priority:
    text = headers.get(HEADER_PRIORITY)
    if text is None:
        return account.priority
    names = [priority.name.lower() for priority in types.Priority]
    if text not in names:
        raise make_header_error(HEADER_PRIORITY, ' or '.join(names), text)
    return types.Priority[text.upper()]
