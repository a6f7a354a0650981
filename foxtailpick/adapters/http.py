"""HTTP client of the adapters: JSON bodies, and errors with verdicts."""

import contextlib
import json
import typing

import httpcore

from foxtailpick.adapters import http_connections
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

CONNECT_TIMEOUT_MS = 2_000.0
READ_TIMEOUT_MS = 60_000.0
MAX_CONNECTIONS = 256
# Below the idle timeout of common servers: a request on a connection that
# the server is closing has an unknown outcome.
KEEPALIVE_EXPIRY_MS = 2_000.0

# Limit of bodies that are read as a whole.
MAX_BODY_BYTES = 16_777_216

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
_SENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class JsonClient:
    """A connection pool to one server with a JSON API.

    An async context manager; closes the connections on exit.

    :param base_url: scheme, host and port, without a path.
    :param connect_timeout_ms: time limit for opening a connection.
    :param read_timeout_ms: time limit for each read or write.
    :param keepalive_expiry_ms: idle time after which a connection is not
        reused.
    """

    def __init__(
        self,
        base_url: str,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        read_timeout_ms: float = READ_TIMEOUT_MS,
        keepalive_expiry_ms: float = KEEPALIVE_EXPIRY_MS,
    ) -> None:
        self.base_url = base_url.rstrip('/')
        self._timeouts = {
            'connect': connect_timeout_ms / types.SECOND_MS,
            'pool': connect_timeout_ms / types.SECOND_MS,
            'read': read_timeout_ms / types.SECOND_MS,
            'write': read_timeout_ms / types.SECOND_MS,
        }
        self._pool = http_connections.open_pool(
            MAX_CONNECTIONS, keepalive_expiry_ms / types.SECOND_MS
        )

    async def __aenter__(self) -> 'JsonClient':
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._pool.aclose()

    @contextlib.asynccontextmanager
    async def open_response(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: typing.Mapping[str, str] | None = None,
    ) -> typing.AsyncIterator[httpcore.Response]:
        """Send a request and yield the response before its body is read.

        Leaving the context early closes the connection.

        :param method: HTTP method.
        :param path: path and query, starting with a slash.
        :param body: body.
        :param headers: additional headers.
        :raises errors.RequestError: `NOT_RUN` if no connection was opened,
            `MAY_HAVE_RUN` if it failed later.
        """
        with translate_errors(self.base_url):
            async with self._pool.stream(
                method,
                self.base_url + path,
                headers=_encode_headers(headers or {}, body),
                content=body,
                extensions={'timeout': self._timeouts},
            ) as response:
                yield response

    async def call_json(
        self, method: str, path: str, message: object = None
    ) -> typing.Any:
        """Send a JSON body and return the decoded JSON answer.

        :param method: HTTP method.
        :param path: path and query, starting with a slash.
        :param message: the body, None for no body.
        :raises errors.RequestError: as `open_response`, and for a status
            other than 200 with the verdict of `require_ok`.
        """
        body = b'' if message is None else encode_json(message)
        async with self.open_response(method, path, body) as response:
            content = await read_body(response)
        require_ok(response.status, content, self.base_url)
        return decode_json(content, self.base_url)


async def read_body(
    response: httpcore.Response, max_bytes: int | None = None
) -> bytes:
    """Read the body of a response.

    :param response: the open response.
    :param max_bytes: its limit, `MAX_BODY_BYTES` if None.
    :raises errors.RequestError: `MAY_HAVE_RUN` if it is longer.
    """
    limit = MAX_BODY_BYTES if max_bytes is None else max_bytes
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > limit:
            raise errors.RequestError(
                errors.ErrorCode.ENDPOINT_FAILED,
                f'expected an answer of at most {limit} bytes, got more; '
                f'request less from the service',
                verdict_lib.Verdict.MAY_HAVE_RUN,
            )
    return bytes(body)


def encode_json(message: object) -> bytes:
    """Encode a message as compact JSON."""
    return json.dumps(message, separators=(',', ':')).encode()


def decode_json(content: bytes, peer: str) -> typing.Any:
    """Decode a JSON body.

    :param content: body.
    :param peer: sender, for the error message.
    :raises errors.RequestError: `MAY_HAVE_RUN` if it is not JSON.
    """
    try:
        return json.loads(content)
    except ValueError as exc:
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            f'expected JSON from {peer}, got {content[:80]!r}; '
            f'check which server listens there',
            verdict_lib.Verdict.MAY_HAVE_RUN,
        ) from exc


def require_ok(status: int, content: bytes, peer: str) -> None:
    """Raise an error unless a status is 200.

    The verdict is `NOT_RUN` for a refusal (400 to 499, 503), else
    `MAY_HAVE_RUN`.

    :param status: HTTP status.
    :param content: body, quoted in the error message.
    :param peer: server, for the error message.
    :raises errors.RequestError: if the status is not 200.
    """
    if status == HTTP_OK:
        return
    code = errors.ErrorCode.ENDPOINT_FAILED
    if status in (HTTP_UNAVAILABLE, HTTP_TOO_MANY_REQUESTS):
        code = errors.ErrorCode.OVERLOADED
    elif status == HTTP_CONFLICT:
        code = errors.ErrorCode.ORDER_FENCED
    is_refusal = (
        HTTP_CLIENT_ERROR <= status < HTTP_SERVER_ERROR
        or status == HTTP_UNAVAILABLE
    )
    verdict = verdict_lib.Verdict.MAY_HAVE_RUN
    if is_refusal:
        verdict = verdict_lib.Verdict.NOT_RUN
    raise errors.RequestError(
        code,
        f'expected status 200 from {peer}, got {status}: {content[:200]!r}',
        verdict,
    )


@contextlib.contextmanager
def translate_errors(peer: str) -> typing.Iterator[None]:
    """Translate errors of the HTTP library to `errors.RequestError`.

    :param peer: server, for the error message.
    :raises errors.RequestError: instead of the error of the library.
    """
    try:
        yield
    except _NOT_SENT_ERRORS as exc:
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            f'expected a connection to {peer}, got {exc!r}; '
            f'check that it runs and listens',
            verdict_lib.Verdict.NOT_RUN,
        ) from exc
    except _SENT_ERRORS as exc:
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            f'expected an answer from {peer}, got {exc!r}; '
            f'the request may have run',
            verdict_lib.Verdict.MAY_HAVE_RUN,
        ) from exc


def _encode_headers(
    headers: typing.Mapping[str, str], body: bytes
) -> list[tuple[bytes, bytes]]:
    encoded = [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in headers.items()
    ]
    encoded.append((b'Content-Length', str(len(body)).encode()))
    if 'content-type' not in {name.lower() for name in headers}:
        encoded.append((b'Content-Type', b'application/json'))
    return encoded
