"""State shared by the components of a router."""

import contextlib
import dataclasses
import random
import typing

import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core import configuration
from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import placement
from foxtailpick.core import retry
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import links as links_lib
from foxtailpick.node import metrics as metrics_lib
from foxtailpick.router import explain
from foxtailpick.router import fleet_view
from foxtailpick.router import jobs

SHUTDOWN_POLL_MS = 10.0
# A separate budget for answers that the caller has received in part: when
# an endpoint is lost, all its streams need a retry at once, and without one
# their callers keep half an answer. Both budgets together allow fewer than
# 1.2 attempts a request.
MID_STREAM_RETRY_OPTIONS = retry.RetryOptions(
    budget_ratio=0.05, budget_burst=20.0
)
FINAL_SEND_TIMEOUT_MS = 1_000.0
REFUSAL_PERIOD_MS = 1_000.0
HINT_TTL_MS = 10 * types.MINUTE_MS


@dataclasses.dataclass(slots=True)
class RouterContext:
    """State of one router.

    :param cfg: its settings.
    :param node: holds the configuration in force.
    :param fleet: this router's view of the endpoints.
    :param links: links to sidecars.
    :param monitor: checks the invariants.
    :param rng: random source for jitter.
    """

    cfg: settings.RouterSettings
    node: config_node_lib.ConfigNode
    fleet: fleet_view.FleetView
    links: links_lib.LinkPool
    monitor: invariants.Monitor
    rng: random.Random
    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.Clock.from_trio
    )
    wall_clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.Clock.from_wall
    )
    retry_options: retry.RetryOptions = dataclasses.field(
        default_factory=retry.RetryOptions
    )
    budget: retry.RetryBudget = dataclasses.field(init=False)
    mid_stream_budget: retry.RetryBudget = dataclasses.field(init=False)
    decisions: explain.DecisionHistory = dataclasses.field(
        default_factory=explain.DecisionHistory
    )
    metrics: metrics_lib.Metrics = dataclasses.field(
        default_factory=metrics_lib.Metrics
    )
    is_stopping: bool = False
    active_scopes: set[trio.CancelScope] = dataclasses.field(
        default_factory=set
    )
    open_requests: int = 0

    def __post_init__(self) -> None:
        """Create the retry budgets."""
        self.budget = retry.RetryBudget(self.retry_options)
        self.mid_stream_budget = retry.RetryBudget(MID_STREAM_RETRY_OPTIONS)

    @contextlib.contextmanager
    def request_scope(self, deadline_ms: float) -> typing.Iterator[None]:
        """Cancel a request at its deadline or at the router's shutdown.

        :param deadline_ms: the deadline on the local clock.
        """
        seconds = deadline_ms / types.SECOND_MS
        with trio.CancelScope(deadline=seconds) as scope:
            self.active_scopes.add(scope)
            try:
                yield
            finally:
                self.active_scopes.discard(scope)

    async def shut_down(self, limit_ms: float) -> None:
        """Refuse new requests and wait for those in flight.

        Requests still in flight after the limit are cancelled and answered
        with an error whose verdict tells whether they may have run.

        :param limit_ms: the longest wait.
        """
        self.is_stopping = True
        with trio.move_on_after(limit_ms / types.SECOND_MS):
            while self.open_requests:
                await clock_lib.sleep_ms(SHUTDOWN_POLL_MS)
        for scope in list(self.active_scopes):
            scope.cancel()
        with trio.move_on_after(FINAL_SEND_TIMEOUT_MS / types.SECOND_MS):
            while self.open_requests:
                await clock_lib.sleep_ms(SHUTDOWN_POLL_MS)
        # Callers that have not noticed the shutdown get a refusal instead
        # of a closed connection.
        await clock_lib.sleep_ms(REFUSAL_PERIOD_MS)

    def make_hint(
        self, endpoint: types.EndpointId, incarnation: types.Incarnation
    ) -> decision.LocationHint:
        """Return the location hint for the chat's next request.

        :param endpoint: where the chat ran.
        :param incarnation: the incarnation that holds its prefix.
        """
        expires_ms = self.wall_clock.now() + HINT_TTL_MS
        return decision.LocationHint(endpoint, incarnation, expires_ms)

    def make_interrupted_error(
        self, verdict: verdict_lib.Verdict, received: str
    ) -> errors.RequestError:
        """Return the error for a request that `request_scope` cancelled.

        :param verdict: whether it may have run.
        :param received: what was received before, for the message.
        """
        if self.is_stopping:
            return errors.RequestError(
                errors.ErrorCode.SHUTTING_DOWN,
                f'expected the whole answer before the router stops, got '
                f'{received}; continue through another router',
                verdict,
            )
        return errors.RequestError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            f'expected the whole answer before the deadline, got {received}; '
            f'set a later deadline',
            verdict,
        )

    def read_config(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self.node.current

    def list_out_of_service_domains(self) -> frozenset[types.FailureDomainId]:
        """Return the failure domains that are out of service."""
        return frozenset(
            domain
            for domain, item in self.read_config().domains.items()
            if item.state is types.DomainState.OUT_OF_SERVICE
        )

    def place(
        self, caller: jobs.Caller, req: decision.PlacementRequest
    ) -> decision.Decision:
        """Choose the candidate endpoints of a request and log the decision.

        :param caller: the caller.
        :param req: the inputs of the placement.
        """
        self.fleet.refresh()
        chosen = placement.choose_endpoints(self.fleet.table, req)
        self.log_decision('PLACE', caller, chosen.format_line())
        return chosen

    def make_placement_request(
        self,
        caller: jobs.Caller,
        key: str,
        service: types.ServiceId,
        model: types.ModelId | None,
        hint: decision.LocationHint | None = None,
    ) -> decision.PlacementRequest:
        """Return the inputs of the placement of a request.

        :param caller: the caller.
        :param key: placement key: the chat, or the idempotency key or
            request id of a call.
        :param service: the requested service.
        :param model: the requested model, None for a plain service.
        :param hint: where the chat ran last.
        """
        return decision.PlacementRequest(
            key=key,
            service=service,
            region=self.cfg.node.region,
            model=model,
            allowed=caller.account.endpoints or None,
            domains_out=self.list_out_of_service_domains(),
            hint=self.fleet.get_location(key) or hint,
            wall_ms=self.wall_clock.now(),
            avoid=self.fleet.list_avoided(),
        )

    def log_decision(
        self, prefix: str, caller: jobs.Caller, line: str
    ) -> None:
        """Log a decision about a request and store it for `explain`."""
        self.decisions.add(
            prefix, caller.request, caller.account.account, line
        )
