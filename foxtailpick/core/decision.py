"""What a placement decision says: candidates, reasons, endpoints passed over.

The same value feeds the log line and the operators' `explain`.
"""

import dataclasses
import enum
import math
import typing

from foxtailpick.core import types

HINT_SEPARATOR = ';'
MAX_CANDIDATES = 4
MAX_PASSED = 8

NO_DOMAINS: frozenset[types.FailureDomainId] = frozenset()


class ChoiceReason(enum.Enum):
    """Why an endpoint is a candidate."""

    HINT = 'the caller returned it as the place of the chat'
    HOME = 'first in the computed order'
    NEXT = 'next in the computed order'
    OTHER_DOMAIN = 'first in the computed order in another failure domain'
    OTHER_REGION = 'nothing left in the own region'
    LAST_RESORT = 'avoided, but nothing better is left'


class PassReason(enum.Enum):
    """Why an endpoint was passed over."""

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


AVOIDABLE = frozenset({PassReason.FULL, PassReason.UNREACHABLE})


@dataclasses.dataclass(frozen=True, slots=True)
class LocationHint:
    """Where a chat ran last, returned by the caller with the chat.

    :param endpoint: the endpoint that ran it.
    :param incarnation: the incarnation that holds its cached prefix.
    :param expires_ms: when the prefix has probably been evicted, by the
        wall clock. The sidecar knows how long its engine keeps prefixes;
        infinite where it does not.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation
    expires_ms: float = math.inf

    @classmethod
    def from_text(cls, text: str) -> typing.Optional['LocationHint']:
        """Read the text form; None if it is malformed.

        A hint is advice from outside: a bad one is ignored, not refused.

        :param text: `endpoint;incarnation`, or with `;expires_ms` after it.
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
    """What a placement depends on besides the table.

    :param key: the chat, or the request of a call without a chat.
    :param service: the service asked for.
    :param region: the region of the router.
    :param model: the model asked for, None for a plain service.
    :param allowed: the endpoint set of the client account, None for all.
    :param domains_out: failure domains out of service.
    :param hint: where the chat ran last, as returned by the caller.
    :param wall_ms: the wall-clock time; a hint that expired is not followed.
    :param avoid: endpoints to try only when nothing better is left.
    :param max_candidates: how many candidates to return, above zero.
    """

    key: str
    service: types.ServiceId
    region: types.RegionId
    model: types.ModelId | None = None
    allowed: frozenset[types.EndpointId] | None = None
    domains_out: frozenset[types.FailureDomainId] = NO_DOMAINS
    hint: LocationHint | None = None
    wall_ms: float = 0.0
    avoid: typing.Mapping[types.EndpointId, PassReason] = dataclasses.field(
        default_factory=dict
    )
    max_candidates: int = MAX_CANDIDATES


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint to try.

    :param endpoint: the endpoint.
    :param reason: why it stands at its place in the order.
    """

    endpoint: types.EndpointId
    reason: ChoiceReason


@dataclasses.dataclass(frozen=True, slots=True)
class PassedOver:
    """An endpoint that comes earlier in the order but is not tried.

    :param endpoint: the endpoint.
    :param reason: why it was passed over.
    """

    endpoint: types.EndpointId
    reason: PassReason


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The outcome of one placement.

    :param key: the chat, or the request of a call without a chat.
    :param candidates: endpoints to try, in order; empty if there is none.
    :param passed: endpoints passed over, the first few in order.
    :param passed_more: how many more were passed over.
    """

    key: str
    candidates: tuple[Candidate, ...]
    passed: tuple[PassedOver, ...] = ()
    passed_more: int = 0

    @property
    def chosen(self) -> Candidate | None:
        """The first candidate, None if no endpoint may run the request."""
        return self.candidates[0] if self.candidates else None

    def format_line(self) -> str:
        """Return the log line, without its prefix."""
        if self.chosen is None:
            head = f'{self.key} has no endpoint'
        else:
            head = f'{self.key} to {self.chosen.endpoint}'
            head += f' ({self.chosen.reason.name})'
        parts = [head]
        if len(self.candidates) > 1:
            parts.append(f'then {_join_endpoints(self.candidates[1:])}')
        if self.passed:
            parts.append(f'passed over {_join_endpoints(self.passed)}')
        if self.passed_more:
            parts.append(f'and {self.passed_more} more')
        return ', '.join(parts) + '.'


def _join_endpoints(
    items: typing.Sequence[Candidate] | typing.Sequence[PassedOver],
) -> str:
    return ' '.join(f'{item.endpoint} ({item.reason.name})' for item in items)
