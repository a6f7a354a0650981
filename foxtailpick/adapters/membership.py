"""Adapter for the membership list of the platform over HTTP."""

import dataclasses
import typing
import urllib.parse

import httpcore

from foxtailpick.adapters import base
from foxtailpick.adapters import http
from foxtailpick.core import errors

MEMBERS_PATH = '/members'
HTTP_NOT_MODIFIED = 304


class HttpMembershipList(base.MembershipList):
    """Client of the membership list.

    An async context manager; closes the connections on exit.

    :param client: HTTP client of the membership service.
    :param reader: name of this reader, sent with each request.
    """

    def __init__(self, client: http.JsonClient, reader: str = '') -> None:
        self._client = client
        query = urllib.parse.urlencode({'reader': reader})
        self._path = f'{MEMBERS_PATH}?{query}'
        self._etag = ''
        self._members: list[base.Member] = []

    @classmethod
    def from_url(cls, base_url: str, reader: str = '') -> 'HttpMembershipList':
        """Create an adapter with its own connections.

        :param base_url: scheme, host and port of the service.
        :param reader: name of this reader, sent with each request.
        """
        return cls(http.JsonClient(base_url), reader)

    async def __aenter__(self) -> 'HttpMembershipList':
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._client.__aexit__()

    async def list_members(self) -> list[base.Member]:
        # An unchanged list is not transferred again: full reads of a
        # thousand members would exceed the control traffic budget of a node.
        headers = {'If-None-Match': self._etag} if self._etag else {}
        try:
            async with self._client.open_response(
                'GET', self._path, headers=headers
            ) as response:
                content = await http.read_body(response)
            if response.status == HTTP_NOT_MODIFIED:
                return list(self._members)
            http.require_ok(response.status, content, self._client.base_url)
            answer = http.decode_json(content, self._client.base_url)
            self._members = [_parse_member(row) for row in answer['members']]
            self._etag = _find_etag(response)
            return list(self._members)
        except (errors.RequestError, LookupError, TypeError) as exc:
            raise errors.StoreError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'expected the membership list, got {exc!r}; '
                f'keep the last known list',
            ) from exc


def _find_etag(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b'etag':
            return value.decode('latin-1')
    return ''


def _parse_member(row: dict[str, typing.Any]) -> base.Member:
    known = {field.name for field in dataclasses.fields(base.Member)}
    return base.Member(**{key: row[key] for key in row if key in known})
