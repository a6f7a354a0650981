"""Adapter for a plain HTTP service."""

import typing

import httpcore

from foxtailpick.adapters import base
from foxtailpick.adapters import http

MAX_ANSWER_BYTES = 1_000_000

# Headers of a single connection, which are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class HttpService(base.PlainService):
    """Client of a plain service.

    An async context manager; closes the connections on exit.

    :param client: HTTP client of the service.
    """

    def __init__(self, client: http.JsonClient) -> None:
        self._client = client

    @classmethod
    def from_url(
        cls, base_url: str, read_timeout_ms: float = http.READ_TIMEOUT_MS
    ) -> 'HttpService':
        """Create an adapter with its own connections.

        :param base_url: scheme, host and port of the service.
        :param read_timeout_ms: time limit for each read or write.
        """
        return cls(http.JsonClient(base_url, read_timeout_ms=read_timeout_ms))

    async def __aenter__(self) -> 'HttpService':
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._client.__aexit__()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: typing.Mapping[str, str],
    ) -> base.ServiceAnswer:
        passed = {
            name: value
            for name, value in headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        }
        async with self._client.open_response(
            method, path, body, passed
        ) as response:
            return base.ServiceAnswer(
                status=response.status,
                headers=_decode_headers(response),
                body=await http.read_body(response, MAX_ANSWER_BYTES),
            )


def _decode_headers(
    response: httpcore.Response,
) -> tuple[tuple[str, str], ...]:
    decoded = [
        (name.decode('ascii').lower(), value.decode('latin-1'))
        for name, value in response.headers
    ]
    return tuple(item for item in decoded if item[0] not in HOP_BY_HOP_HEADERS)
