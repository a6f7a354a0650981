"""A router's view of the endpoints: membership, health and load."""

import random

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import configuration
from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import load_view
from foxtailpick.core import member_types
from foxtailpick.core import membership
from foxtailpick.core import messages
from foxtailpick.core import placement
from foxtailpick.core import types
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import links as links_lib

PROBE_POLL_MS = 250.0
# The membership view already holds members that disappear from the list; a
# second hold in the table would keep drained ones.
NO_HOLD_MS = 0.0


class FleetView:
    """Members, the placement table and the last reported loads.

    :param node: the configuration in force.
    :param monitor: checks the invariants.
    :param rng: random source for the jitter of probes.
    """

    def __init__(
        self,
        node: config_node_lib.ConfigNode,
        monitor: invariants.Monitor,
        rng: random.Random,
    ) -> None:
        self.table = placement.PlacementTable(NO_HOLD_MS)
        self.loads = load_view.LoadView()
        self.loaded = trio.Event()
        self._view = membership.MembershipView(monitor, rng)
        self._node = node
        self._clock = clock_lib.Clock.from_trio()
        self._statuses: list[member_types.MemberStatus] = []
        self._version = -1
        self._number = types.ConfigNumber(-1)

    def on_list(self, members: list[base.Member]) -> None:
        """Apply a membership list of the platform."""
        self._view.on_list(members, self._clock.now())
        self.refresh()
        self.loaded.set()

    def on_list_failed(self, cause: str) -> None:
        """Keep the last known members after a failed read of the list."""
        self._view.on_list_failed(cause, self._clock.now())
        self.refresh()

    def on_frame(self, link: links_lib.Link, frame: messages.Frame) -> None:
        """Update liveness, state and load from a frame of a sidecar.

        :param link: the link that received it.
        :param frame: the frame.
        """
        endpoint = types.EndpointId(link.peer.node)
        incarnation = link.peer.incarnation
        message = frame.message
        now_ms = self._clock.now()
        if isinstance(message, messages.Chunks):
            # Skipped because of their rate; the sidecar's probes show that
            # an open link is alive.
            return
        if isinstance(message, messages.StateNotice):
            self._view.on_notice(endpoint, incarnation, message.state, now_ms)
            return
        self._view.on_success(endpoint, incarnation, now_ms)
        self._record_load(endpoint, message, now_ms)

    def on_unreachable(self, endpoint: types.EndpointId) -> None:
        """Record that the link to an endpoint failed."""
        member = self.table.get_member(endpoint)
        if member is not None:
            now_ms = self._clock.now()
            self._view.on_failure(endpoint, member.incarnation, now_ms)

    def list_avoided(self) -> dict[types.EndpointId, decision.SkipReason]:
        """Return the endpoints to use only as a last resort, with reasons."""
        avoided = self.loads.list_full(self._clock.now())
        for status in self._statuses:
            if status.is_avoided:
                endpoint = status.member.endpoint
                avoided[endpoint] = decision.SkipReason.UNREACHABLE
        return avoided

    def is_node_isolated(self) -> bool:
        """Tell whether this router appears isolated from all endpoints."""
        return self._view.is_node_isolated(self._clock.now())

    def list_statuses(self) -> list[member_types.MemberStatus]:
        """Return the members that may receive work."""
        return self._statuses

    def refresh(self) -> None:
        """Update the placement table if members or configuration changed."""
        cfg = self._node.current
        if (self._view.version, cfg.number) == (self._version, self._number):
            return
        now_ms = self._clock.now()
        self._version = self._view.version
        self._number = cfg.number
        self._statuses = self._view.list_usable(now_ms)
        members = [status.member for status in self._statuses]
        self.table.update(members, _map_models(cfg, members), now_ms)

    async def run_probes(self, links: links_lib.LinkPool) -> None:
        """Probe members when they are due, until cancelled.

        :param links: links to sidecars.
        """
        async with trio.open_nursery() as nursery:
            while True:
                for member in self._view.take_due_probes(self._clock.now()):
                    nursery.start_soon(self._probe_member, links, member)
                await clock_lib.sleep_ms(PROBE_POLL_MS)
                self.refresh()

    async def _probe_member(
        self, links: links_lib.LinkPool, member: base.Member
    ) -> None:
        began_ms = self._clock.now()
        try:
            await links.probe(member.address)
        except errors.LinkError as exc:
            logger.debug('MEMBER {} not reached. {}', member.endpoint, exc)
            self._view.on_failure(
                member.endpoint,
                member.incarnation,
                self._clock.now(),
                began_ms,
            )

    def _record_load(
        self,
        endpoint: types.EndpointId,
        message: messages.Message,
        now_ms: float,
    ) -> None:
        is_refused = isinstance(message, messages.Failed)
        if not is_refused and not isinstance(message, messages.Accepted):
            return
        code = errors.ErrorCode.LOAD_BOUND_EXCEEDED
        if is_refused and message.code is not code:
            return
        admission = load_bound.Admission(
            is_admitted=not is_refused,
            load_tokens=message.load,
            limit_tokens=message.load,
            mean_tokens=message.mean_load,
        )
        member = self.table.get_member(endpoint)
        if member is not None:
            self.loads.observe(member.service, endpoint, admission, now_ms)

    def record_location(self, key: str, endpoint: types.EndpointId) -> None:
        """Record where a request is sent after a refusal elsewhere.

        :param key: its placement key.
        :param endpoint: the endpoint that it is sent to.
        """
        member = self.table.get_member(endpoint)
        if member is not None:
            hint = decision.LocationHint(endpoint, member.incarnation)
            self.loads.record_location(key, hint, self._clock.now())

    def get_location(self, key: str) -> decision.LocationHint | None:
        """Return the recorded location of a key, None if there is none."""
        return self.loads.get_location(key, self._clock.now())


def _map_models(
    cfg: configuration.Configuration, members: list[base.Member]
) -> dict[types.EndpointId, frozenset[types.ModelId]]:
    return {
        member.endpoint: cfg.services[member.service].models
        for member in members
        if member.service in cfg.services
    }
