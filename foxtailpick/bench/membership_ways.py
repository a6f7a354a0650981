"""Membership approaches that the membership benchmark compares."""

import dataclasses
import random

from foxtailpick.adapters import base
from foxtailpick.core import invariants
from foxtailpick.core import membership
from foxtailpick.core import types

EJECTION_THRESHOLD = 3
EJECTION_MS = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Members offered for placement.

    :param preferred: members to use.
    :param present: endpoints to use or to fall back on.
    """

    preferred: list[base.Member]
    present: set[types.EndpointId]


class PlainList:
    """Baseline: the membership list without changes."""

    def __init__(self) -> None:
        self._members: list[base.Member] = []
        self._offer = Offer([], set())

    def on_list(self, members: list[base.Member], now_ms: float) -> None:
        """Apply a new membership list."""
        self._members = members
        self._make_offer(now_ms)

    def on_outcome(
        self,
        member: base.Member,
        is_success: bool,
        start_ms: float,
        now_ms: float,
    ) -> None:
        """Do nothing; outcomes of attempts are not used."""

    def offer(self, now_ms: float) -> Offer:
        """Return the current offer."""
        return self._offer

    def take_due_probes(self, now_ms: float) -> list[base.Member]:
        """Return no members; this approach sends no probes."""
        return []

    def _make_offer(self, now_ms: float) -> None:
        endpoints = {item.endpoint for item in self._members}
        self._offer = Offer(self._members, endpoints)


class FailureCounting(PlainList):
    """Baseline: ejects a member for a time after consecutive failures."""

    def __init__(self) -> None:
        super().__init__()
        self._failures: dict[types.EndpointId, int] = {}
        self._ejected_until_ms: dict[types.EndpointId, float] = {}

    def on_outcome(
        self,
        member: base.Member,
        is_success: bool,
        start_ms: float,
        now_ms: float,
    ) -> None:
        """Count consecutive failures."""
        count = 0 if is_success else self._failures.get(member.endpoint, 0) + 1
        self._failures[member.endpoint] = count
        if count >= EJECTION_THRESHOLD:
            self._ejected_until_ms[member.endpoint] = now_ms + EJECTION_MS
            self._make_offer(now_ms)

    def _make_offer(self, now_ms: float) -> None:
        members = [
            item
            for item in self._members
            if self._ejected_until_ms.get(item.endpoint, 0.0) <= now_ms
        ]
        self._offer = Offer(members, {item.endpoint for item in members})


class JoinedView:
    """The membership view of the routers.

    :param seed: seed of its random generator.
    """

    def __init__(self, seed: int) -> None:
        self.view = membership.MembershipView(
            invariants.Monitor(is_strict=True), random.Random(seed)
        )
        self._offer = Offer([], set())
        self._offer_version = -1

    def on_list(self, members: list[base.Member], now_ms: float) -> None:
        """Apply a new membership list."""
        self.view.on_list(members, now_ms)
        self._offer_version = -1

    def on_outcome(
        self,
        member: base.Member,
        is_success: bool,
        start_ms: float,
        now_ms: float,
    ) -> None:
        """Record a success or a failure."""
        endpoint, incarnation = member.endpoint, member.incarnation
        if is_success:
            self.view.on_success(endpoint, incarnation, now_ms)
        else:
            self.view.on_failure(endpoint, incarnation, now_ms, start_ms)

    def offer(self, now_ms: float) -> Offer:
        """Offer members that are not avoided, or all if there are none."""
        if self._offer_version != self.view.version:
            found = self.view.list_usable(now_ms)
            self._offer_version = self.view.version
            preferred = [item.member for item in found if not item.is_avoided]
            self._offer = Offer(
                preferred or [item.member for item in found],
                {item.member.endpoint for item in found},
            )
        return self._offer

    def take_due_probes(self, now_ms: float) -> list[base.Member]:
        """Return the members that the view wants to probe."""
        return self.view.take_due_probes(now_ms)
