"""Types shared by the decisions and the data path of the gateway."""

import dataclasses
import enum
import typing

from foxtailpick.core import types

Address = tuple[str, int]
RawHeader = tuple[bytes, bytes]


class RequestKind(enum.Enum):
    """What running a request of a route may repeat."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


class Outcome(enum.Enum):
    """How the answer to a request ended, as logs and metrics say it."""

    ANSWERED = 'answered'
    FAILED_BY_ENDPOINT = 'failed-by-endpoint'
    REFUSED = 'refused'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    TIMED_OUT = 'timed-out'
    BROKEN_OFF = 'broken-off'
    CALLER_LEFT = 'caller-left'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, with its part of the requests."""

    service: types.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    :param name: its name in the configuration.
    :param host: the host that it serves, in lower case.
    :param prefix: beginning of the paths that it serves.
    :param targets: the services that it sends to.
    :param kind: what may be repeated.
    :param timeout_ms: longest time a caller is kept waiting.
    :param target_ms: time to the answer, or to the first event.
    :param patience_ms: time after which callers leave who heard nothing.
    :param priority: rank, 0 is the most urgent.
    :param max_attempts: endpoints that one request may be sent to.
    :param is_anonymous: whether requests carry no key.
    :param is_resumable: whether another endpoint may go on with a stream.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    kind: RequestKind
    timeout_ms: float
    target_ms: float
    patience_ms: float
    priority: int
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    :param name: its name.
    :param max_connections: connections an endpoint takes from all callers.
    :param warmup_ms: how long an endpoint is cold after its start.
    :param warmup_per_s: requests a second that a cold endpoint bears, 0
        for no limit.
    """

    name: types.ServiceId
    max_connections: int
    warmup_ms: float
    warmup_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param name: its name, which endpoints are told.
    :param priority: rank that goes before the route's, if any.
    """

    name: types.AccountId
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayConfig:
    """A version of the operators' configuration.

    :param number: its version.
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
    """What an endpoint says of itself in the platform's store.

    :param id: its id.
    :param started: its start, which tells two lives of one id apart.
    :param service: the service that it belongs to.
    :param address: where it listens.
    :param domain: its failure domain.
    :param slots: requests that it runs at once.
    :param is_draining: whether it takes no new work.
    :param warmup_left_ms: how long it stays cold from the time of writing.
    """

    id: types.EndpointId
    started: types.Incarnation
    service: types.ServiceId
    address: Address
    domain: types.FailureDomainId
    slots: int
    is_draining: bool
    warmup_left_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """What a router says of itself in the platform's store.

    :param address: where it takes the messages of other routers.
    :param processor_share: processor time that it has, in cores.
    """

    address: Address
    processor_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(slots=True)
class RequestMeta:
    """What the headers of a request say.

    :param id: id of the client attempt.
    :param deadline_ms: how long the caller waits from now, if it says so.
    :param key: the caller's key, if any.
    :param parts: the parts of its prompt, in order.
    :param prompt_tokens: length of the prompt, 0 if unknown.
    :param output_tokens: most tokens of the answer, 0 if unknown.
    :param last_event_id: event after which the stream goes on, if any.
    :param forwarded: headers that pass unchanged.
    """

    id: types.RequestId
    deadline_ms: float | None
    key: str | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None
    forwarded: list[RawHeader]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint states in a response."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True)
class ResponseMeta:
    """What the headers of an endpoint's response say.

    :param request: id of the request that it answers, if stated.
    :param is_signed: whether it carries the endpoint's signature.
    :param is_not_run: whether the endpoint states that nothing was run.
    :param is_encoded: whether the body has a content encoding.
    :param is_closing: whether the endpoint closes the connection.
    :param keep_alive_ms: idle time after which it closes, if stated.
    :param load: the load that it states, if any.
    :param retry_after_ms: when to come back, if stated.
    :param forwarded: headers that pass unchanged.
    :param signature: the header that holds the signature, if any.
    """

    request: types.RequestId | None = None
    is_signed: bool = False
    is_not_run: bool = False
    is_encoded: bool = False
    is_closing: bool = False
    keep_alive_ms: float | None = None
    load: LoadReport | None = None
    retry_after_ms: float | None = None
    forwarded: list[RawHeader] = dataclasses.field(default_factory=list)
    signature: RawHeader | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigItem:
    """The store holds this configuration, None if it holds none."""

    cfg: GatewayConfig | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointItem:
    """The store lists an endpoint, or lists it no more (no entry)."""

    id: types.EndpointId
    entry: EndpointEntry | None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationItem:
    """The operators take a failure domain out of service, or back."""

    domain: types.FailureDomainId
    is_out: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RouterItem:
    """A router is registered, or is no more (no entry)."""

    id: types.RouterId
    entry: RouterEntry | None


Item = ConfigItem | EndpointItem | EvacuationItem | RouterItem
