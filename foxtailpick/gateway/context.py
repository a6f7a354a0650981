"""What the tasks of a gateway share."""

import dataclasses
import random
import typing

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import stopping
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import pool as pool_lib
from foxtailpick.gateway import settings as settings_lib
from foxtailpick.gateway import state as state_lib
from foxtailpick.node import metrics as metrics_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """How headers are read and written; the adapter gives it."""

    decode_request: typing.Callable[..., model.RequestMeta]
    encode_request: typing.Callable[..., list[model.RawHeader]]
    decode_response: typing.Callable[..., model.ResponseMeta]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A request under way at an endpoint.

    :param endpoint: the endpoint.
    :param conn: the connection to it.
    :param heard_ms: when the endpoint last sent something for it.
    :param limit_ms: how long it may hear nothing before it moves on.
    :param can_move: tells whether another endpoint may take it over.
    :param is_waiting: whether it waits for the endpoint now, and not for
        the caller to read.
    :param is_noted: whether its silence was counted as a failure.
    """

    endpoint: endpoint_table.Endpoint
    conn: client_lib.ClientConnection
    heard_ms: float
    limit_ms: float
    can_move: typing.Callable[[], bool]
    is_waiting: bool = False
    is_noted: bool = False


@dataclasses.dataclass(slots=True)
class Gateway:
    """State and parts of one gateway process."""

    cfg: settings_lib.GatewaySettings
    now_ms: typing.Callable[[], float]
    state: state_lib.GatewayState
    pool: pool_lib.Pool
    budget: retry.RetryBudget
    dialect: Dialect
    log: decision_log.DecisionLog
    metrics: metrics_lib.Metrics
    rng: random.Random
    attempts: set[Attempt] = dataclasses.field(default_factory=set)
    uses: dict[types.ServiceId, account_usage.AccountUsage] = (
        dataclasses.field(default_factory=dict)
    )
    waiting: dict[types.ServiceId, admission_queue.AdmissionQueue] = (
        dataclasses.field(default_factory=dict)
    )
    first_answers: dict[str, response_timeout.FirstByteEstimate] = (
        dataclasses.field(default_factory=dict)
    )
    stream_pace: stopping.StreamTiming = dataclasses.field(
        default_factory=stopping.StreamTiming
    )
    stops_at_ms: float | None = None
    stopping_since_ms: float = 0.0

    def get_waiting(
        self, service: types.ServiceId
    ) -> admission_queue.AdmissionQueue:
        """Return the requests of a service that wait here."""
        return self.waiting.setdefault(
            service, admission_queue.AdmissionQueue()
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.stops_at_ms is not None
