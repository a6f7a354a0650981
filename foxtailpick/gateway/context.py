"""State and components that the tasks of a gateway share."""

import dataclasses
import functools
import random
import typing

import trio

from foxtailpick.core.dispatch import account_usage as account_usage_lib
from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import decayed_rate
from foxtailpick.core.dispatch import endpoint_memory
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import loop_checks as loop_checks_lib
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import overload_order
from foxtailpick.core.dispatch import refusal
from foxtailpick.core.dispatch import request_memory as request_memory_lib
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.core.dispatch import rollouts as rollouts_lib
from foxtailpick.core.dispatch import stopping
from foxtailpick.core.dispatch import stream_origins
from foxtailpick.core.dispatch import unsent_answers
from foxtailpick.core import errors
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import exchange as exchange_lib
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import pool as pool_lib
from foxtailpick.gateway import settings as settings_lib
from foxtailpick.gateway import state as state_lib
from foxtailpick.node import metrics as metrics_lib

# Interval of the watchdog, well below the read timeouts that it enforces.
LOOP_CHECK_INTERVAL_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Codec of the platform's headers, supplied by its adapter."""

    decode_request: typing.Callable[..., model.RequestMeta]
    encode_request: typing.Callable[..., list[model.RawHeader]]
    decode_response: typing.Callable[..., model.ResponseMeta]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """A request in flight at an endpoint.

    :param endpoint: the endpoint.
    :param conn: the connection to it.
    :param last_received_ms: when data of the response last arrived.
    :param last_progress_ms: when the response last made progress: with any
        data or, in a stream, with the end of an event.
    :param read_timeout_ms: time without progress after which it is silent.
    :param report_silence: reports that it is silent or, with False, that
        it no longer is.
    :param job: the request.
    :param is_in_stream: whether it reads the events of a stream.
    :param is_reading: whether it is reading from the endpoint, as opposed
        to writing to the caller.
    :param is_silent: whether its silence was reported.
    :param is_failure_recorded: whether its timeout was recorded as a failure.
    :param answered_ms: when the endpoint began to respond, None before that.
    :param is_withdrawn: whether it was aborted since one of the request's
        signatures was quarantined.
    :param hedge_ms: time without an answer after which another endpoint is
        asked too, though this one need not be silent; None if never.
    :param report_late: reports that this time is over.
    :param is_late: whether that was reported.
    :param has_queued: whether its endpoint had no free slot when it was
        placed.
    """

    endpoint: endpoint_table.Endpoint
    conn: client_lib.ClientConnection
    last_received_ms: float
    last_progress_ms: float
    read_timeout_ms: float
    report_silence: typing.Callable[[bool], None]
    job: job_lib.Job
    is_in_stream: bool = False
    is_reading: bool = False
    is_silent: bool = False
    is_failure_recorded: bool = False
    answered_ms: float | None = None
    is_withdrawn: bool = False
    hedge_ms: float | None = None
    report_late: typing.Callable[[], None] = lambda: None
    is_late: bool = False
    has_queued: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GroupHooks:
    """How an attempt acts on the others of the same request.

    :param report_sent: reports that the request is sent.
    :param report_begun: reports that the endpoint has begun a stream.
    :param report_silence: reports that the endpoint is silent or, with
        False, that it no longer is.
    :param report_late: reports that another endpoint has to be asked soon
        for the request to be answered in time.
    :param claim: tells whether this attempt may write to the caller, False
        if another one does. With True, as for a whole event or response,
        the others are cancelled.
    """

    report_sent: typing.Callable[[], None]
    report_begun: typing.Callable[[], None]
    report_silence: typing.Callable[[bool], None]
    report_late: typing.Callable[[], None]
    claim: typing.Callable[[bool], bool]


@dataclasses.dataclass(slots=True)
class EndCheck:
    """A check whether an endpoint that closed a connection has ended.

    :param began_ms: when the check began.
    :param has_ended: whether the endpoint accepts no connection, None if
        the check was cancelled.
    :param done: set once that is known.
    """

    began_ms: float
    has_ended: bool | None = None
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


async def refuse_unknown_stream(
    request: types.RequestId | None, service: types.ServiceId
) -> stream_origins.Origin:
    """Look up a stream where no store can be asked.

    :param request: the attempt that brought its first event, if named.
    :param service: the service of the request that takes it up.
    :raises errors.RequestError: always.
    """
    raise errors.RequestError(
        errors.ErrorCode.STREAM_UNKNOWN,
        f'expected a store to tell where the stream of {request} to '
        f'{service} began, got none; begin a new stream',
    )


@dataclasses.dataclass(slots=True)
class Gateway:
    """State and components of one gateway process.

    :param cfg: its settings.
    :param now_ms: function that returns the current time.
    :param state: configuration, endpoints and routers.
    :param pool: connections to endpoints.
    :param budget: retry budget of each service.
    :param dialect: codec of the platform's headers.
    :param log: its log.
    :param metrics: its metrics.
    :param rng: source of random numbers.
    :param started_ms: when the process started.
    :param part_records: prompt parts that may crash endpoints.
    :param request_records: requests that may crash endpoints.
    :param end_checks: recent checks of endpoints, by process.
    :param attempts: attempts in flight.
    :param account_usage: usage of each service by its accounts.
    :param queues: admission queue of each service.
    :param orders: requests to each service that wait under overload.
    :param ordered_services: a configuration, and the shortest target of each
        service whose requests are ordered under it; None before the first.
    :param first_byte_estimates: times to the first byte on each route.
    :param memories: memory of each service's endpoints, as known here.
    :param usual_times: usual times of plain answers on each route.
    :param placement_rates: rate of this gateway's requests to each service.
    :param return_schedules: when refused callers of each service return.
    :param rollouts: the latest roll-out of each service, if any.
    :param barred_versions: versions of each service that an earlier order
        moved to without being completed.
    :param departures: endpoints that announced to this router that they
        leave, and are to be kept in the store.
    :param departure_read: set once there is one.
    :param streams: where streams began, as far as known here.
    :param stream_versions: versions of each service that has streams which
        may be resumed.
    :param look_up_stream: finds out where a stream began that isn't known.
    :param stream_timing: durations of recent streams, per allowed token.
    :param buffered: memory used by responses that are being read.
    :param unsent: answers that wait to be read by their callers.
    :param accepted: open connections that its listeners have accepted.
    :param request_memory: memory of the requests of all callers.
    :param request_scopes: cancel scopes of the requests in flight.
    :param loop_checks: when the event loop ran lately.
    :param stop_signal_ms: when the process was told to stop at the earliest,
        None before that and without a signal.
    :param shutdown_deadline_ms: when requests in flight are cut off, None
        unless the process is stopping.
    :param shutdown_started_ms: when the signal to stop came at the earliest.
    :param shutdown_complete_ms: when requests that are accepted meanwhile
        have to be complete.
    :param is_ending: whether requests in flight are being cut off.
    """

    cfg: settings_lib.GatewaySettings
    now_ms: typing.Callable[[], float]
    state: state_lib.GatewayState
    pool: pool_lib.Pool
    budget: retry.RetryBudget
    dialect: Dialect
    log: decision_log.DecisionLog
    metrics: metrics_lib.Metrics
    rng: random.Random
    started_ms: float = 0.0
    part_records: crash_records.CrashRecords = dataclasses.field(
        default_factory=crash_records.CrashRecords
    )
    request_records: crash_records.CrashRecords = dataclasses.field(
        default_factory=functools.partial(
            crash_records.CrashRecords, crash_policy.REQUESTS
        )
    )
    end_checks: dict[str, EndCheck] = dataclasses.field(default_factory=dict)
    attempts: set[Attempt] = dataclasses.field(default_factory=set)
    account_usage: dict[types.ServiceId, account_usage_lib.AccountUsage] = (
        dataclasses.field(default_factory=dict)
    )
    queues: dict[types.ServiceId, admission_queue.AdmissionQueue] = (
        dataclasses.field(default_factory=dict)
    )
    orders: dict[types.ServiceId, overload_order.Order] = dataclasses.field(
        default_factory=dict
    )
    ordered_services: (
        tuple[model.GatewayConfig | None, dict[types.ServiceId, float]] | None
    ) = None
    first_byte_estimates: dict[str, response_timeout.FirstByteEstimate] = (
        dataclasses.field(default_factory=dict)
    )
    memories: dict[types.ServiceId, endpoint_memory.ServiceMemory] = (
        dataclasses.field(default_factory=dict)
    )
    usual_times: dict[str, request_work.UsualValue] = dataclasses.field(
        default_factory=dict
    )
    placement_rates: dict[types.ServiceId, decayed_rate.DecayedRate] = (
        dataclasses.field(default_factory=dict)
    )
    return_schedules: dict[types.ServiceId, refusal.ReturnSchedule] = (
        dataclasses.field(default_factory=dict)
    )
    rollouts: dict[types.ServiceId, rollouts_lib.Rollout] = dataclasses.field(
        default_factory=dict
    )
    barred_versions: dict[types.ServiceId, frozenset[types.Version]] = (
        dataclasses.field(default_factory=dict)
    )
    departures: set[model.EndpointIncarnation] = dataclasses.field(
        default_factory=set
    )
    departure_read: trio.Event = dataclasses.field(default_factory=trio.Event)
    streams: stream_origins.StreamOrigins = dataclasses.field(
        default_factory=stream_origins.StreamOrigins
    )
    stream_versions: dict[types.ServiceId, stream_origins.ServiceVersions] = (
        dataclasses.field(default_factory=dict)
    )
    look_up_stream: typing.Callable[
        [types.RequestId | None, types.ServiceId],
        typing.Awaitable[stream_origins.Origin],
    ] = refuse_unknown_stream
    stream_timing: stopping.StreamTiming = dataclasses.field(
        default_factory=stopping.StreamTiming
    )
    buffered: exchange_lib.BufferedTotal = dataclasses.field(
        default_factory=exchange_lib.BufferedTotal
    )
    unsent: unsent_answers.UnsentAnswers = dataclasses.field(
        default_factory=unsent_answers.UnsentAnswers
    )
    accepted: int = 0
    request_memory: request_memory_lib.RequestMemory = dataclasses.field(
        default_factory=request_memory_lib.RequestMemory
    )
    request_scopes: set[trio.CancelScope] = dataclasses.field(
        default_factory=set
    )
    loop_checks: loop_checks_lib.LoopChecks = dataclasses.field(
        default_factory=functools.partial(
            loop_checks_lib.LoopChecks, LOOP_CHECK_INTERVAL_MS
        )
    )
    stop_signal_ms: float | None = None
    shutdown_deadline_ms: float | None = None
    shutdown_started_ms: float = 0.0
    shutdown_complete_ms: float = 0.0
    is_ending: bool = False

    def get_queue(
        self, service: types.ServiceId
    ) -> admission_queue.AdmissionQueue:
        """Return the admission queue of a service."""
        return self.queues.setdefault(
            service, admission_queue.AdmissionQueue()
        )

    def get_order(self, service: types.ServiceId) -> overload_order.Order:
        """Return the order of the requests to a service."""
        return self.orders.setdefault(service, overload_order.Order())

    def get_placement_rate(
        self, service: types.ServiceId
    ) -> decayed_rate.DecayedRate:
        """Return the rate of this gateway's requests to a service."""
        return self.placement_rates.setdefault(
            service, decayed_rate.DecayedRate()
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.shutdown_deadline_ms is not None
