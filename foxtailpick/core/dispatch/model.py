"""Types shared by the dispatch decisions and the gateway's data path."""

import dataclasses
import enum
import typing

from foxtailpick.core import types

Address = tuple[str, int]
RawHeader = tuple[bytes, bytes]
EndpointIncarnation = tuple[types.EndpointId, types.Incarnation]
# Streams that have begun, by service and version.
Begun = dict[types.ServiceId, dict[types.Version, list[types.RequestId]]]


class RequestKind(enum.Enum):
    """Kind of a route's requests, which determines what may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class Outcome(enum.Enum):
    """How a request ended, as written to logs and metrics."""

    ANSWERED = 'answered'
    FAILED_BY_ENDPOINT = 'failed-by-endpoint'
    REFUSED = 'refused'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    TIMED_OUT = 'timed-out'
    BROKEN_OFF = 'broken-off'
    CALLER_LEFT = 'caller-left'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, with its traffic weight."""

    service: types.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    :param name: its name in the configuration.
    :param host: the host that it serves, in lower case.
    :param prefix: path prefix that it serves.
    :param targets: the services that it sends to.
    :param kind: determines whether requests may be retried.
    :param timeout_ms: total timeout of a request.
    :param target_ms: target latency of the answer, or of the first event
        of a stream.
    :param abandon_after_ms: time after which callers without any response
        disconnect.
    :param priority: default priority, 0 is the most urgent.
    :param max_attempts: number of endpoints that one request may be sent to.
    :param is_anonymous: whether requests need no key.
    :param is_resumable: whether another endpoint may continue a stream.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    kind: RequestKind
    timeout_ms: float
    target_ms: float
    abandon_after_ms: float
    priority: int
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    :param name: its name.
    :param max_connections: connections that an endpoint accepts from all
        callers, 0 for no limit.
    :param warmup_ms: duration of an endpoint's warm-up.
    :param warmup_per_s: requests per second that an endpoint sustains
        during its warm-up, 0 for no limit.
    :param memory_tokens: tokens that the memory of an endpoint holds, 0 if
        not stated.
    """

    name: types.ServiceId
    max_connections: int
    warmup_ms: float
    warmup_per_s: float
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param name: its name, which is sent to endpoints.
    :param priority: priority that overrides the route's, if any.
    """

    name: types.AccountId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size and time limits of a caller's connection."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig:
    """A version of the operators' configuration.

    :param number: its version.
    :param accounts: client accounts by key.
    :param has_accounts: whether requests must carry a key.
    """

    number: types.ConfigNumber
    routes: tuple[Route, ...]
    services: typing.Mapping[types.ServiceId, Service]
    accounts: typing.Mapping[str, Account]
    has_accounts: bool
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Registration of an endpoint in the platform's store.

    :param id: its id.
    :param started: start of the process, which distinguishes incarnations
        with the same id.
    :param service: the service that it belongs to.
    :param address: address that it listens on.
    :param domain: its failure domain.
    :param slots: number of requests that it runs concurrently.
    :param is_draining: whether it accepts no new work.
    :param warmup_left_ms: remaining warm-up at the time of writing.
    :param version: version of its software, empty if not stated.
    :param sequence: number of the heartbeat that wrote it, counted from the
        start of the process.
    """

    id: types.EndpointId
    started: types.Incarnation
    service: types.ServiceId
    address: Address
    domain: types.FailureDomainId
    slots: int
    is_draining: bool
    warmup_left_ms: float
    version: types.Version = types.Version('')
    sequence: int = 0

    @property
    def incarnation(self) -> EndpointIncarnation:
        """Id and start of the process."""
        return self.id, self.started


class RolloutState(enum.Enum):
    """State of a roll-out, as the operators read it."""

    IN_PROGRESS = 'in_progress'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order of the operators to move a service to a version.

    :param id: identifies the order; an order that is given again has
        another id.
    :param service: the service.
    :param version: version of the endpoints that the traffic moves to.
    :param duration_ms: time until the roll-out has to be completed, 0 if
        the stated time cannot be used.
    :param revision: revision of the store at which it was given.
    """

    id: types.RolloutId
    service: types.ServiceId
    version: types.Version
    duration_ms: float
    revision: types.Revision = types.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What the routers have agreed on about an order, kept in the store.

    :param order: the order.
    :param version: version of the endpoints that the traffic moves to.
    :param order_revision: revision of the store at which it was given.
    :param state: its state; the final ones never change.
    :param began_unix_ms: wall clock of the first writer when it saw the
        order, in milliseconds since the Unix epoch.
    :param barred: versions of earlier orders that were not completed.
    :param revision: revision at which the record was written, 0 before that.
    """

    order: types.RolloutId
    version: types.Version
    order_revision: types.Revision
    state: RolloutState
    began_unix_ms: float
    barred: tuple[types.Version, ...] = ()
    revision: types.Revision = types.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """Registration of a router in the platform's store.

    :param address: address for messages of other routers.
    :param processor_share: processor time available to it, in cores.
    """

    address: Address
    processor_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    id: types.PartId
    tokens: int


@dataclasses.dataclass(slots=True)
class RequestMeta:
    """Decoded headers of a request.

    :param id: id of the client attempt.
    :param deadline_ms: how long the caller waits from now, if stated.
    :param key: the caller's key, if any.
    :param parts: the parts of its prompt, in order.
    :param prompt_tokens: length of the prompt, 0 if unknown.
    :param output_tokens: maximum length of the answer, 0 if unknown.
    :param last_event_id: event after which the stream continues, if any.
    :param forwarded: headers that are forwarded unchanged.
    :param resumes: the attempt that brought the first event of the stream
        that it continues, if named.
    """

    id: types.RequestId
    deadline_ms: float | None
    key: str | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None
    forwarded: list[RawHeader]
    resumes: types.RequestId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an endpoint in a response.

    :param running: requests that it runs.
    :param waiting: requests in its queue.
    :param slots: requests that it runs concurrently at most.
    :param pace: time that work takes there at this moment, as a multiple of
        the usual time, None if not stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(slots=True)
class ResponseMeta:
    """Decoded headers of an endpoint's response.

    :param request: id of the request that it answers, if stated.
    :param is_signed: whether it carries the endpoint's signature.
    :param is_not_run: whether the endpoint states that the request was not
        executed.
    :param is_encoded: whether the body has a content encoding.
    :param is_closing: whether the endpoint closes the connection.
    :param keep_alive_ms: idle timeout of the connection, if stated.
    :param load: the reported load, if any.
    :param bad_load: a report of the load that is invalid, if any.
    :param is_leaving: whether the endpoint announces that it leaves.
    :param retry_after_ms: time until a retry is welcome, if stated.
    :param bad_retry_after: a statement of that time that is invalid, if any.
    :param rate_limit_per_s: requests per second that the endpoint takes from
        all routers, if it names a limit.
    :param bad_rate_limit: a statement of that rate that is invalid, if any.
    :param forwarded: headers that are forwarded unchanged.
    :param signature: the header with the signature, if any.
    """

    request: types.RequestId | None = None
    is_signed: bool = False
    is_not_run: bool = False
    is_encoded: bool = False
    is_closing: bool = False
    keep_alive_ms: float | None = None
    load: LoadReport | None = None
    bad_load: str | None = None
    is_leaving: bool = False
    retry_after_ms: float | None = None
    bad_retry_after: str | None = None
    rate_limit_per_s: float | None = None
    bad_rate_limit: str | None = None
    forwarded: list[RawHeader] = dataclasses.field(default_factory=list)
    signature: RawHeader | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigItem:
    """The stored configuration, None if there is none."""

    cfg: GatewayConfig | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointItem:
    """An endpoint's registration; the entry is None once it is removed."""

    id: types.EndpointId
    entry: EndpointEntry | None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationItem:
    """A failure domain is taken out of service or returned to it."""

    domain: types.FailureDomainId
    is_out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RouterItem:
    """A router's registration; the entry is None once it is removed."""

    id: types.RouterId
    entry: RouterEntry | None


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutItem:
    """A roll-out of a service.

    :param service: the service.
    :param order: the order, None if it was withdrawn or cannot be read.
    :param error: why it cannot be read, empty otherwise.
    """

    service: types.ServiceId
    order: RolloutOrder | None
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecordItem:
    """The record of a service's roll-out; None if it is missing."""

    service: types.ServiceId
    record: RolloutRecord | None


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureItem:
    """An endpoint announced to a router that it leaves."""

    endpoint: EndpointIncarnation


@dataclasses.dataclass(frozen=True, slots=True)
class StreamVersionsItem:
    """Versions of a service at which streams may have begun.

    :param service: the service.
    :param versions: the versions, None if the item is missing.
    :param era: era of the store for which they are complete, None if the
        store doesn't state it, or for none yet.
    """

    service: types.ServiceId
    versions: frozenset[types.Version] | None
    era: types.Era | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BegunStreamsItem:
    """Streams that began through one router."""

    begun: Begun


Item = (
    ConfigItem
    | EndpointItem
    | EvacuationItem
    | RouterItem
    | RolloutItem
    | RolloutRecordItem
    | DepartureItem
    | StreamVersionsItem
    | BegunStreamsItem
)
