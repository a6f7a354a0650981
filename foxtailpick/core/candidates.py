"""Selection of the candidates of a placement decision."""

import typing

from foxtailpick.core import decision as decision_lib
from foxtailpick.core import types

if typing.TYPE_CHECKING:
    from foxtailpick.core import placement


class Selection:
    """Endpoints chosen and skipped so far for a request.

    :param table: the members.
    :param req: the request to place.
    """

    def __init__(
        self,
        table: 'placement.PlacementTable',
        req: decision_lib.PlacementRequest,
    ) -> None:
        self._table = table
        self._req = req
        self._chosen: dict[types.EndpointId, decision_lib.ChoiceReason] = {}
        self._skipped: dict[types.EndpointId, decision_lib.SkipReason] = {}
        self._unusable_hint: decision_lib.SkippedEndpoint | None = None

    @property
    def is_full(self) -> bool:
        """Whether the requested number of candidates is reached."""
        return len(self._chosen) >= self._req.max_candidates

    @property
    def is_in_one_domain(self) -> bool:
        """Whether all of several candidates share one failure domain."""
        domains = {self._get_domain(endpoint) for endpoint in self._chosen}
        return len(self._chosen) > 1 and len(domains) == 1

    def consider(
        self,
        endpoint: types.EndpointId,
        reason: decision_lib.ChoiceReason,
    ) -> None:
        """Add an endpoint, or record why it is skipped.

        :param endpoint: the endpoint, next in order.
        :param reason: why it would be a candidate.
        """
        if endpoint in self._chosen or endpoint in self._skipped:
            return
        skip_reason = find_skip_reason(self._table, self._req, endpoint)
        if skip_reason is None:
            self._chosen[endpoint] = reason
        else:
            self._skipped[endpoint] = skip_reason

    def consider_hint(self, hint: decision_lib.LocationHint) -> None:
        """Add the endpoint of the caller's hint, if it is still usable.

        :param hint: where the chat ran last.
        """
        skip_reason = self._find_hint_skip_reason(hint)
        if skip_reason is None:
            self._chosen[hint.endpoint] = decision_lib.ChoiceReason.HINT
        else:
            # The endpoint may still follow in the computed order; the entry
            # then explains why it is not first.
            skipped = decision_lib.SkippedEndpoint(hint.endpoint, skip_reason)
            self._unusable_hint = skipped

    def spread_over_domains(
        self, order: typing.Iterator[types.EndpointId]
    ) -> None:
        """Replace the last candidate by the next in another failure domain.

        The loss of one failure domain must not take all candidates.

        :param order: the endpoints that follow in order.
        """
        last = next(reversed(self._chosen))
        domain = self._get_domain(last)
        for endpoint in order:
            if endpoint in self._chosen:
                continue
            if find_skip_reason(self._table, self._req, endpoint) is not None:
                continue
            if self._get_domain(endpoint) != domain:
                del self._chosen[last]
                reason = decision_lib.ChoiceReason.OTHER_DOMAIN
                self._chosen[endpoint] = reason
                return

    def build_decision(self) -> decision_lib.Decision:
        """Return the decision, filled up with avoided endpoints if needed."""
        for endpoint, skip_reason in self._skipped.items():
            if self.is_full:
                break
            if skip_reason in decision_lib.LAST_RESORT_REASONS:
                reason = decision_lib.ChoiceReason.LAST_RESORT
                self._chosen[endpoint] = reason
        skipped = self._list_skipped()
        return decision_lib.Decision(
            self._req.key,
            tuple(
                decision_lib.Candidate(endpoint, reason)
                for endpoint, reason in self._chosen.items()
            ),
            tuple(skipped[: decision_lib.MAX_SKIPPED]),
            max(0, len(skipped) - decision_lib.MAX_SKIPPED),
        )

    def _find_hint_skip_reason(
        self, hint: decision_lib.LocationHint
    ) -> decision_lib.SkipReason | None:
        skip_reason = find_skip_reason(self._table, self._req, hint.endpoint)
        if skip_reason is not None:
            return skip_reason
        member = self._table.get_member(hint.endpoint)
        if member.incarnation != hint.incarnation:
            return decision_lib.SkipReason.OTHER_INCARNATION
        if hint.expires_ms <= self._req.wall_ms:
            return decision_lib.SkipReason.HINT_EXPIRED
        return None

    def _list_skipped(self) -> list[decision_lib.SkippedEndpoint]:
        skipped = [
            decision_lib.SkippedEndpoint(endpoint, reason)
            for endpoint, reason in self._skipped.items()
            if endpoint not in self._chosen
        ]
        hint = self._unusable_hint
        if hint is None:
            return skipped
        return [hint, *(p for p in skipped if p.endpoint != hint.endpoint)]

    def _get_domain(
        self, endpoint: types.EndpointId
    ) -> types.FailureDomainId | None:
        member = self._table.get_member(endpoint)
        return None if member is None else member.domain


def find_skip_reason(
    table: 'placement.PlacementTable',
    req: decision_lib.PlacementRequest,
    endpoint: types.EndpointId,
) -> decision_lib.SkipReason | None:
    """Return why to skip an endpoint for a request, None if it is usable.

    :param table: the members.
    :param req: the request.
    :param endpoint: the endpoint.
    """
    member = table.get_member(endpoint)
    if member is None:
        return decision_lib.SkipReason.ABSENT
    if member.is_leaving:
        return decision_lib.SkipReason.LEAVING
    if member.domain in req.domains_out:
        return decision_lib.SkipReason.DOMAIN_OUT
    if member.service != req.service:
        return decision_lib.SkipReason.OTHER_SERVICE
    if not table.serves(endpoint, req.model):
        return decision_lib.SkipReason.MODEL_NOT_SERVED
    if req.allowed is not None and endpoint not in req.allowed:
        return decision_lib.SkipReason.NOT_ALLOWED
    return req.avoid.get(endpoint)


def rank_after_refusal(
    table: 'placement.PlacementTable',
    req: decision_lib.PlacementRequest,
    waiting: typing.Sequence[types.EndpointId],
    hints: typing.Sequence[types.EndpointId],
) -> list[types.EndpointId]:
    """Return the endpoints to try after a refusal by the load bound.

    The sidecar that sent the hints knows neither the endpoint set of the
    client account nor the router's links, so the hints are filtered here.

    :param table: the members.
    :param req: the request.
    :param waiting: untried candidates, in order.
    :param hints: hints of the refusal, in order.
    """
    usable = [e for e in hints if find_skip_reason(table, req, e) is None]
    return list(dict.fromkeys([*usable, *waiting]))
