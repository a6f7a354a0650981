"""What the parts of a router share."""

import contextlib
import dataclasses
import random
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import configuration
from foxtailpick.core import decision
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_view
from foxtailpick.core import placement
from foxtailpick.core import retry
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.router import explain
from foxtailpick.router import jobs
from foxtailpick.router import links as links_lib
from foxtailpick.router import metrics as metrics_lib

UNREACHABLE_MS = 2_000.0
STOP_POLL_MS = 10.0


@dataclasses.dataclass(slots=True)
class RouterContext:
    """State of one router.

    :param cfg: its settings.
    :param read_config: function that returns the configuration in force.
    :param links: connections to sidecars.
    :param monitor: checks the promises.
    :param rng: source of jitter.
    :param loads: loads that sidecars told last.
    """

    cfg: settings.RouterSettings
    read_config: typing.Callable[[], configuration.Configuration]
    links: links_lib.LinkPool
    monitor: invariants.Monitor
    rng: random.Random
    loads: load_view.LoadView
    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.Clock.from_trio
    )
    table: placement.PlacementTable = dataclasses.field(
        default_factory=placement.PlacementTable
    )
    retry_options: retry.RetryOptions = dataclasses.field(
        default_factory=retry.RetryOptions
    )
    budget: retry.RetryBudget = dataclasses.field(init=False)
    decisions: explain.DecisionLog = dataclasses.field(
        default_factory=explain.DecisionLog
    )
    metrics: metrics_lib.Metrics = dataclasses.field(
        default_factory=metrics_lib.Metrics
    )
    members: list[base.Member] = dataclasses.field(default_factory=list)
    members_loaded: trio.Event = dataclasses.field(default_factory=trio.Event)
    unreachable_until_ms: dict[types.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    is_stopping: bool = False
    active: set[trio.CancelScope] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        """Create the budget from the options."""
        self.budget = retry.RetryBudget(self.retry_options)

    def update_members(self, members: list[base.Member]) -> None:
        """Take over a newer member list.

        :param members: the list.
        """
        self.members = members
        self.refresh_table()
        self.members_loaded.set()

    def refresh_table(self) -> None:
        """Compute the placement anew from members and configuration."""
        cfg = self.read_config()
        models = {
            member.endpoint: cfg.services[member.service].models
            for member in self.members
            if member.service in cfg.services
        }
        self.table.update(self.members, models, self.clock.now())

    @contextlib.contextmanager
    def limit_work(self, deadline_ms: float) -> typing.Iterator[None]:
        """Bound a request's work by its deadline and the router's stop.

        :param deadline_ms: the deadline on the local clock.
        """
        seconds = deadline_ms / types.SECOND_MS
        with trio.CancelScope(deadline=seconds) as scope:
            self.active.add(scope)
            try:
                yield
            finally:
                self.active.discard(scope)

    async def finish_work(self, limit_ms: float) -> None:
        """Take no new work, and wait for what is in flight.

        What is left after the limit is given up with a truthful verdict.

        :param limit_ms: the longest wait.
        """
        self.is_stopping = True
        with trio.move_on_after(limit_ms / types.SECOND_MS):
            while self.active:
                await clock_lib.sleep_ms(STOP_POLL_MS)
        for scope in list(self.active):
            scope.cancel()
        while self.active:
            await clock_lib.sleep_ms(STOP_POLL_MS)

    def make_stop_error(
        self, verdict: verdict_lib.Verdict, came: str
    ) -> errors.RequestError:
        """Return the error for work that was cut short.

        :param verdict: whether it may have run.
        :param came: how far it got.
        """
        if self.is_stopping:
            return errors.RequestError(
                errors.ErrorCode.SHUTTING_DOWN,
                f'expected to finish before the router stops, got {came}; '
                f'go on through another router',
                verdict,
            )
        return errors.RequestError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            f'expected the whole answer before the deadline, got {came}; '
            f'allow more time',
            verdict,
        )

    def note_unreachable(self, endpoint: types.EndpointId) -> None:
        """Avoid an endpoint for a while, as no link to it could be kept."""
        until_ms = self.clock.now() + UNREACHABLE_MS
        self.unreachable_until_ms[endpoint] = until_ms

    def list_avoided(
        self,
    ) -> dict[types.EndpointId, decision.PassReason]:
        """Return the endpoints to try only when nothing else is left."""
        now_ms = self.clock.now()
        avoided = self.loads.list_full(now_ms)
        for endpoint, until_ms in list(self.unreachable_until_ms.items()):
            if until_ms <= now_ms:
                del self.unreachable_until_ms[endpoint]
            else:
                avoided[endpoint] = decision.PassReason.UNREACHABLE
        return avoided

    def list_domains_out(self) -> frozenset[types.FailureDomainId]:
        """Return the failure domains out of service."""
        return frozenset(
            domain
            for domain, item in self.read_config().domains.items()
            if item.state is types.DomainState.OUT_OF_SERVICE
        )

    def place(
        self,
        caller: jobs.Caller,
        key: str,
        service: types.ServiceId,
        model: types.ModelId | None,
        hint: decision.LocationHint | None = None,
    ) -> decision.Decision:
        """Decide where a request goes, and log the decision.

        :param caller: who asks.
        :param key: the chat, or the request of a call without one.
        :param service: the service asked for.
        :param model: the model asked for, None for a plain service.
        :param hint: where the chat ran last.
        """
        req = decision.PlacementRequest(
            key=key,
            service=service,
            region=self.cfg.node.region,
            model=model,
            allowed=caller.account.endpoints or None,
            domains_out=self.list_domains_out(),
            hint=hint,
            avoid=self.list_avoided(),
        )
        chosen = placement.choose_endpoints(self.table, req)
        self.explain('PLACE', caller, chosen.format_line())
        return chosen

    def explain(self, prefix: str, caller: jobs.Caller, line: str) -> None:
        """Log a decision about a request and keep it for `explain`."""
        self.decisions.add(
            prefix, caller.request, caller.account.account, line
        )
