"""What the parts of a router share."""

import dataclasses
import random
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import configuration
from foxtailpick.core import decision
from foxtailpick.core import invariants
from foxtailpick.core import load_view
from foxtailpick.core import placement
from foxtailpick.core import retry
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.router import explain
from foxtailpick.router import jobs
from foxtailpick.router import links as links_lib
from foxtailpick.router import metrics as metrics_lib

UNREACHABLE_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class RouterContext:
    """State of one router.

    :param cfg: its settings.
    :param read_config: function that returns the configuration in force.
    :param links: connections to sidecars.
    :param monitor: checks the promises.
    :param rng: source of jitter.
    """

    cfg: settings.RouterSettings
    read_config: typing.Callable[[], configuration.Configuration]
    links: links_lib.LinkPool
    monitor: invariants.Monitor
    rng: random.Random
    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.Clock.from_trio
    )
    table: placement.PlacementTable = dataclasses.field(
        default_factory=placement.PlacementTable
    )
    loads: load_view.LoadView = dataclasses.field(
        default_factory=load_view.LoadView
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
    in_flight: int = 0

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
