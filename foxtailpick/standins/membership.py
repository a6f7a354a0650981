"""Stand-in for the membership list of the platform, with lag and flapping.

Each reader sees a change after a lag of its own, so that the views of two
readers differ for a while, as they do on the platform.
"""

import dataclasses
import typing
import zlib

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailpick.adapters import base
from foxtailpick.adapters import http
from foxtailpick.adapters import membership as membership_adapter
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    at_ms: float
    members: dict[types.EndpointId, base.Member]


class MembershipState:
    """The history of the members, and the faults to inject.

    :param clock: the clock, by default that of the running trio loop.
    :param lag_ms: minimum lag of a reader, in milliseconds.
    :param spread_ms: maximum additional lag of a reader, which depends on
        its name.
    """

    def __init__(
        self,
        clock: clock_lib.Clock | None = None,
        lag_ms: float = 0.0,
        spread_ms: float = 0.0,
    ) -> None:
        self._clock = clock or clock_lib.Clock.from_trio()
        self.lag_ms = lag_ms
        self.spread_ms = spread_ms
        self.is_down = False
        self.read_count = 0
        self.sent_bytes = 0
        self.flapping: set[types.EndpointId] = set()
        self.flap_every_ms = 2_000.0
        self._versions: list[_Version] = [_Version(0.0, {})]

    def put(self, *members: base.Member) -> None:
        """Add members, or replace those of the same endpoints.

        :param members: the new members.
        """
        current = dict(self._versions[-1].members)
        current.update((member.endpoint, member) for member in members)
        self._append(current)

    def remove(self, *endpoints: types.EndpointId) -> None:
        """Remove members.

        :param endpoints: endpoints of the members to remove.
        """
        current = {
            endpoint: member
            for endpoint, member in self._versions[-1].members.items()
            if endpoint not in endpoints
        }
        self._append(current)

    def mark_leaving(self, endpoint: types.EndpointId) -> None:
        """Announce that the platform is going to remove an instance.

        :param endpoint: endpoint of the instance.
        """
        member = self._versions[-1].members[endpoint]
        self.put(dataclasses.replace(member, is_leaving=True))

    def view(self, reader: str = '') -> list[base.Member]:
        """Return the members that a reader sees now, sorted by endpoint.

        :param reader: name of the reader; its lag depends on it.
        """
        now_ms = self._clock.now()
        until_ms = now_ms - self._compute_lag_ms(reader)
        version = next(
            (
                item
                for item in reversed(self._versions)
                if item.at_ms <= until_ms
            ),
            self._versions[0],
        )
        is_hidden = int(now_ms // self.flap_every_ms) % 2 == 1
        return [
            member
            for endpoint, member in sorted(version.members.items())
            if not (is_hidden and endpoint in self.flapping)
        ]

    def _compute_lag_ms(self, reader: str) -> float:
        share = zlib.crc32(reader.encode()) / 2**32
        return self.lag_ms + self.spread_ms * share

    def _append(self, members: dict[types.EndpointId, base.Member]) -> None:
        self._versions.append(_Version(self._clock.now(), members))


def make_app(state: MembershipState) -> applications.Starlette:
    """Return the ASGI app of the membership list.

    :param state: the members and faults.
    """

    async def list_members(req: requests.Request) -> responses.Response:
        if state.is_down:
            return responses.JSONResponse(
                {'detail': 'down'}, status_code=http.HTTP_UNAVAILABLE
            )
        members = state.view(req.query_params.get('reader', ''))
        rows: list[dict[str, typing.Any]] = [
            dataclasses.asdict(member) for member in members
        ]
        response = responses.JSONResponse({'members': rows})
        tag = f'"{zlib.crc32(response.body):08x}"'
        state.read_count += 1
        if req.headers.get('if-none-match') == tag:
            return responses.Response(
                status_code=membership_adapter.HTTP_NOT_MODIFIED
            )
        state.sent_bytes += len(response.body)
        response.headers['ETag'] = tag
        return response

    return applications.Starlette(
        routes=[routing.Route(membership_adapter.MEMBERS_PATH, list_members)]
    )
