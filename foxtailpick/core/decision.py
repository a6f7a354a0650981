"""Placement decisions: candidates, skipped endpoints and the reasons.

The log line and the operators' `explain` are made from the same value.
"""

import dataclasses
import enum
import math
import typing

from foxtailpick.core import types

HINT_SEPARATOR = ';'
MAX_CANDIDATES = 4
MAX_SKIPPED = 8

NO_DOMAINS: frozenset[types.FailureDomainId] = frozenset()


class ChoiceReason(enum.Enum):
    """Why an endpoint is a candidate."""

    HINT = 'the caller returned it as the place of the chat'
    HOME = 'first in the computed order'
    NEXT = 'next in the computed order'
    OTHER_DOMAIN = 'first in the computed order in another failure domain'
    OTHER_REGION = 'nothing left in the own region'
    LAST_RESORT = 'avoided, but nothing better is left'


class SkipReason(enum.Enum):
    """Why an endpoint was skipped."""

    ABSENT = 'not in the membership list'
    DOMAIN_OUT = 'its failure domain is out of service'
    FULL = 'it refused by its load bound a moment ago'
    HINT_EXPIRED = 'the prefix of the chat has probably been evicted there'
    LEAVING = 'the platform is taking it away'
    MODEL_NOT_SERVED = 'it does not serve the model'
    NOT_ALLOWED = 'outside the endpoint set of the client account'
    OTHER_INCARNATION = 'it was replaced since the hint was given'
    OTHER_SERVICE = 'it belongs to another service'
    UNREACHABLE = 'no link to it'


LAST_RESORT_REASONS = frozenset({SkipReason.FULL, SkipReason.UNREACHABLE})


@dataclasses.dataclass(frozen=True, slots=True)
class LocationHint:
    """Where a chat ran last, sent back by the caller with the chat.

    :param endpoint: the endpoint that ran it.
    :param incarnation: the incarnation that holds the cached prefix.
    :param expires_ms: wall-clock time at which the prefix has probably been
        evicted, set by the sidecar from the retention of its engine;
        infinity if that is unknown.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation
    expires_ms: float = math.inf

    @classmethod
    def from_text(cls, text: str) -> typing.Optional['LocationHint']:
        """Parse the text form; None if it is malformed.

        A hint is optional advice from the caller: a malformed one is ignored
        and does not fail the request.

        :param text: `endpoint;incarnation`, optionally with `;expires_ms`.
        """
        endpoint, _, rest = text.partition(HINT_SEPARATOR)
        incarnation, separator, expires_text = rest.partition(HINT_SEPARATOR)
        if not (endpoint and incarnation):
            return None
        try:
            expires_ms = float(int(expires_text)) if separator else math.inf
        except ValueError:
            return None
        return cls(
            types.EndpointId(endpoint),
            types.Incarnation(incarnation),
            expires_ms,
        )

    def to_text(self) -> str:
        """Return the text form."""
        fields = [self.endpoint, self.incarnation]
        if self.expires_ms < math.inf:
            fields.append(str(round(self.expires_ms)))
        return HINT_SEPARATOR.join(fields)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Inputs of a placement besides the table.

    :param key: hash key: the chat, or the request of a call without a chat.
    :param service: requested service.
    :param region: the region of the router.
    :param model: requested model, None for a plain service.
    :param allowed: the endpoint set of the client account, None for all.
    :param domains_out: failure domains out of service.
    :param hint: where the chat ran last, as sent by the caller.
    :param wall_ms: wall-clock time, compared with the expiry of the hint.
    :param avoid: endpoints to use only as a last resort, with the reason.
    :param max_candidates: maximum number of candidates, above zero.
    """

    key: str
    service: types.ServiceId
    region: types.RegionId
    model: types.ModelId | None = None
    allowed: frozenset[types.EndpointId] | None = None
    domains_out: frozenset[types.FailureDomainId] = NO_DOMAINS
    hint: LocationHint | None = None
    wall_ms: float = 0.0
    avoid: typing.Mapping[types.EndpointId, SkipReason] = dataclasses.field(
        default_factory=dict
    )
    max_candidates: int = MAX_CANDIDATES


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint to try.

    :param endpoint: the endpoint.
    :param reason: why it has its position in the order.
    """

    endpoint: types.EndpointId
    reason: ChoiceReason


@dataclasses.dataclass(frozen=True, slots=True)
class SkippedEndpoint:
    """An endpoint that comes earlier in the order but is not tried.

    :param endpoint: the endpoint.
    :param reason: why it was skipped.
    """

    endpoint: types.EndpointId
    reason: SkipReason


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The result of a placement.

    :param key: the chat, or the request of a call without a chat.
    :param candidates: endpoints to try, in order; empty if there is none.
    :param skipped: the first skipped endpoints, in order.
    :param more_skipped: number of further skipped endpoints.
    """

    key: str
    candidates: tuple[Candidate, ...]
    skipped: tuple[SkippedEndpoint, ...] = ()
    more_skipped: int = 0

    @property
    def chosen(self) -> Candidate | None:
        """The first candidate, None if no endpoint may run the request."""
        return self.candidates[0] if self.candidates else None

    def format_line(self) -> str:
        """Return the text of the log line, without its prefix."""
        if self.chosen is None:
            head = f'{self.key} has no endpoint'
        else:
            head = f'{self.key} to {self.chosen.endpoint}'
            head += f' ({self.chosen.reason.name})'
        parts = [head]
        if len(self.candidates) > 1:
            parts.append(f'then {_join_endpoints(self.candidates[1:])}')
        if self.skipped:
            parts.append(f'passed over {_join_endpoints(self.skipped)}')
        if self.more_skipped:
            parts.append(f'and {self.more_skipped} more')
        return ', '.join(parts) + '.'


def _join_endpoints(
    items: typing.Sequence[Candidate] | typing.Sequence[SkippedEndpoint],
) -> str:
    return ' '.join(f'{item.endpoint} ({item.reason.name})' for item in items)
