"""Observations of callers, endpoints and operators, and their checks."""

import collections
import dataclasses
import enum

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.soak import events
from foxtailpick.soak import plan as plan_lib

# Bounds that the deployments must meet. They apply to a gateway after
# SETTLING_MS without a disruption.
SETTLING_MS = 3_000.0
DRAIN_MS = 2_000.0
CONFIG_MS = 2_000.0
EVACUATION_MS = 5_000.0
REVOKE_MS = 5_000.0
# A request sent later than this after a gateway acted on a configuration must
# not be handled as only an older one allows.
REVERT_SLACK_MS = 250.0
CANCEL_MS = 500.0
# An endpoint that asked for a rest may get this many requests of a gateway,
# counted from this time after it asked.
REST_REQUESTS = 2
REST_SLACK_MS = 500.0
# Bound on the requests to an endpoint that limits its rate, in each window of
# this length: a multiple of the limit plus a number. Counted are gateways that
# have known the limit for LIMIT_TOLD_MS.
LIMIT_OVERRUN = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_MS = 4_000.0
LIMIT_TOLD_MS = 500.0
# Requests with a part that crashes endpoints may reach endpoints this many
# times later than SETTLING_MS after the part has crashed so many endpoints.
CRASHES_TO_LEARN = 5
# The same for one request that comes again.
CRASHES_OF_REQUEST_TO_LEARN = 3
MAX_CRASHING_REQUESTS = 3
# Minimum share of requests to be served after all faults have ended.
RECOVERED_SHARE = 0.25
# A call sent up to this time after SIGTERM may be cut off if its endpoint is
# still at work in the last part of the grace period.
EXCUSED_AFTER_STOP_MS = 3_000.0
LAST_GRACE_SHARE = 5 / 6
# Statuses that tell the caller that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Rule(enum.Enum):
    """An invariant that is checked.

    `MIXED`: a complete response is that of a run of the same request.
    `ORDER`: a truncated response is a prefix of the expected one.
    `TWICE`: a request that is not idempotent runs at most once.
    `REFUSED`: a request rejected as not run has not run.
    `DRAIN`: an endpoint that was removed, or announced to the gateway that
        it leaves, receives no new requests.
    `REST`: an endpoint that asked for a rest receives hardly any.
    `LIMIT`: an endpoint that limits its rate gets no more from all gateways.
    `CRASH`: requests that crash endpoints are contained.
    `EVACUATION`: a failure domain out of service receives no requests.
    `CONFIG`: an added or removed route or key takes effect in time.
    `REGRESS`: a gateway that acted on a configuration never acts on an older
    one, also if the store returns from an older copy.
    `LOST`: a graceful shutdown does not cut off requests in flight.
    `GONE`: a request is cancelled after its caller has disconnected.
    `RECOVER`: requests are served again after the faults.
    """

    MIXED = 'mixed'
    ORDER = 'order'
    TWICE = 'twice'
    REFUSED = 'refused'
    DRAIN = 'drain'
    REST = 'rest'
    LIMIT = 'limit'
    CRASH = 'crash'
    EVACUATION = 'evacuation'
    CONFIG = 'config'
    REGRESS = 'regress'
    LOST = 'lost'
    GONE = 'gone'
    RECOVER = 'recover'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A violation of an invariant.

    :param rule: the invariant.
    :param detail: description for the report.
    """

    rule: Rule
    detail: str


@dataclasses.dataclass(slots=True)
class Call:
    """A request as observed by its caller.

    :param id: request id.
    :param gateway: name of the gateway that it was sent to.
    :param kind: kind of its route.
    :param is_resumable: whether its stream can resume at another endpoint.
    :param route: name of its route.
    :param key: the caller's key.
    :param sent_ms: when it was sent.
    :param ended_ms: when the caller finished with it, 0 while in flight.
    :param status: status of the response, 0 if none arrived.
    :param is_complete: whether the response is complete.
    :param signature: signature of the endpoint in the response.
    :param body: the part of the body that arrived.
    :param expected: the complete body to expect.
    :param has_disconnected: whether the caller disconnected before the end.
    :param written_ms: when its last byte was sent, 0 if it was not.
    :param begun_ms: when the status arrived, 0 if it did not.
    :param has_given_up: whether the caller left well after the deadline.
    :param predecessor: the call sent close before on the connection, if any.
    :param resumes: the call whose stream it takes up, if any.
    :param last_event: the last event that its caller has.
    :param versions: versions that wrote the events before.
    :param version_endpoints: endpoints of that version that serve.
    """

    id: str
    gateway: str
    kind: model.RequestKind
    is_resumable: bool
    route: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    is_complete: bool = False
    signature: str = ''
    body: bytes = b''
    expected: bytes = b''
    has_disconnected: bool = False
    key: str = ''
    written_ms: float = 0.0
    begun_ms: float = 0.0
    has_given_up: bool = False
    predecessor: 'Call | None' = None
    resumes: str = ''
    last_event: int = 0
    versions: tuple[str, ...] = ()
    version_endpoints: int = 0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is model.RequestKind.SAFE or self.is_resumable


@dataclasses.dataclass(slots=True)
class Run:
    """A request as observed by an endpoint.

    :param id: request id.
    :param gateway: name of the gateway that the caller used.
    :param endpoint: the endpoint.
    :param domain: failure domain of the endpoint.
    :param route: name of the route.
    :param at_ms: when it arrived at the endpoint.
    :param ended_ms: when processing ended, None while in progress.
    :param start: number of starts of the endpoint before, after its first.
    :param is_broken: whether the endpoint broke off its answer.
    """

    id: str
    gateway: str
    endpoint: str
    domain: str
    route: str
    at_ms: float
    ended_ms: float | None = None
    start: int = 0
    is_broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """A rest that an endpoint asked a gateway for.

    :param gateway: name of the gateway.
    :param endpoint: the endpoint.
    :param from_ms: when it asked.
    :param to_ms: end of the rest.
    """

    gateway: str
    endpoint: str
    from_ms: float
    to_ms: float


@dataclasses.dataclass(slots=True)
class RateLimit:
    """A rate that an endpoint named for some time.

    :param endpoint: the endpoint.
    :param per_s: requests per second from all gateways.
    :param from_ms: when it began to name it.
    :param to_ms: when it ceased to.
    :param told_ms: when it first told a gateway, by gateway.
    """

    endpoint: str
    per_s: float
    from_ms: float
    to_ms: float = float('inf')
    told_ms: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A time in which a sound endpoint read and sent nothing.

    :param endpoint: the endpoint.
    :param accepts: whether it accepted connections.
    :param from_ms: when it began.
    :param to_ms: when the endpoint went on.
    """

    endpoint: str
    accepts: bool
    from_ms: float
    to_ms: float


@dataclasses.dataclass(slots=True)
class CrashingPart:
    """A prompt part that crashes endpoints, or a request that comes again.

    :param crashes_ms: when an endpoint crashed.
    :param arrivals: requests with the part that reached an endpoint: their
        gateway, and when.
    :param crashes_to_learn: number of crashes until it has to be contained.
    """

    crashes_ms: list[float] = dataclasses.field(default_factory=list)
    arrivals: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    crashes_to_learn: int = CRASHES_TO_LEARN


class Record:
    """All observations of one soak run.

    Times are in milliseconds of the trio clock. A disruption is a period in
    which a gateway is affected by a fault, so that most bounds do not apply.

    :param plan: parameters of the run.
    """

    def __init__(self, plan: plan_lib.Plan = plan_lib.Plan()) -> None:
        self.plan = plan
        self.grace_ms = plan.grace_ms
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.removed_ms: dict[str, float] = {}
        # By gateway, endpoint and start: when that process first announced
        # to the gateway that it leaves.
        self.leaving_ms: dict[tuple[str, str, int], float] = {}
        self.rests: list[Rest] = []
        self.rate_limits: list[RateLimit] = []
        self.crashing_parts: dict[str, CrashingPart] = collections.defaultdict(
            CrashingPart
        )
        # Requests that reached an endpoint, also those that it refused.
        self.arrivals: list[tuple[str, str, float]] = []
        # The same by request: endpoint, and when.
        self.passed_on: dict[str, list[tuple[str, float]]] = (
            collections.defaultdict(list)
        )
        # Requests that a gateway has read, by its log.
        self.logged: set[str] = set()
        self.silences: list[Silence] = []
        # When the process of the run did not run, as on a busy machine.
        self.stalls: list[tuple[float, float]] = []
        # Difference between the system clock and the trio clock.
        self.wall_offset_ms = 0.0
        # Timeouts of a route, each with the time from which on it applies.
        self.timeouts_ms: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.evacuated: list[tuple[str, float, float]] = []
        self.dropped_routes: dict[str, float] = {}
        self.added_routes: dict[str, float] = {}
        self.revoked_keys: dict[str, float] = {}
        self.added_keys: dict[str, float] = {}
        # When an endpoint crashed, by endpoint.
        self.crashes_ms: dict[str, list[float]] = collections.defaultdict(list)
        # When the process of a gateway was started, by gateway.
        self.starts: dict[str, list[float]] = collections.defaultdict(list)
        self.disruptions: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.stops: dict[str, list[float]] = collections.defaultdict(list)
        # When a gateway did not get the processor, by gateway.
        self.holds: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        # Gateways that were killed as their grace period ended, and when.
        self.overruns: list[tuple[str, float]] = []
        self.recovery_from_ms = float('inf')

    def record_disruption(
        self, gateway: str, from_ms: float, to_ms: float
    ) -> None:
        """Record a period in which a gateway is disrupted."""
        self.disruptions[gateway].append((from_ms, to_ms))

    def is_settled(self, gateway: str, at_ms: float) -> bool:
        """Tell whether a gateway had no disruption within SETTLING_MS."""
        return not any(
            start <= at_ms and at_ms - SETTLING_MS <= end
            for start, end in self.disruptions[gateway]
        )

    def has_disruption(
        self, gateway: str, from_ms: float, to_ms: float
    ) -> bool:
        """Tell whether a gateway was disrupted within a period."""
        return any(
            start <= to_ms and from_ms <= end
            for start, end in self.disruptions[gateway]
        )

    def compute_stalled_ms(self, from_ms: float, to_ms: float) -> float:
        """Return for how long the process of the run did not run."""
        return sum(
            max(0.0, min(end, to_ms) - max(start, from_ms))
            for start, end in self.stalls
        )

    def check(self) -> list[Breach]:
        """Check all invariants and return the violations."""
        runs = collections.defaultdict(list)
        for run in self.runs:
            runs[run.id].append(run)
        breaches = []
        for call in self.calls:
            breaches.extend(self._check_call(call, runs[call.id]))
        for run in self.runs:
            breaches.extend(self._check_run(run))
        for rest in self.rests:
            breaches.extend(self._check_rest(rest))
        for limit in self.rate_limits:
            breaches.extend(self._check_rate_limit(limit))
        for name, part in self.crashing_parts.items():
            breaches.extend(self._check_crashes(name, part))
        breaches.extend(self._check_regress(runs))
        breaches.extend(self._check_recovery())
        return breaches

    def _check_call(self, call: Call, runs: list[Run]) -> list[Breach]:
        found = []

        def add(rule: Rule, detail: str) -> None:
            found.append(Breach(rule, f'{call.id} ({call.route}): {detail}'))

        if not call.is_idempotent and len(runs) > 1:
            add(
                Rule.TWICE,
                f'ran more than once, at {[run.endpoint for run in runs]}',
            )
        if not call.is_idempotent and call.status in NOT_RUN_STATUSES and runs:
            add(Rule.REFUSED, f'status {call.status} says not run, but it ran')
        body = events.strip_versions(call.body)
        if call.status == 200 and call.is_complete:
            if call.signature not in {f'{r.endpoint}/{r.id}' for r in runs}:
                add(
                    Rule.MIXED,
                    f'no run has signature {call.signature!r}',
                )
            if body != call.expected:
                add(Rule.MIXED, f'unexpected body {call.body[:60]!r}')
        elif call.status == 200 and not call.expected.startswith(body):
            add(
                Rule.ORDER,
                f'body, ending {call.body[-60:]!r}, is no prefix',
            )
        is_settled = self.is_settled(call.gateway, call.ended_ms)
        if is_settled and call.status in (401, 404):
            known_ms = max(
                self.added_routes.get(call.route, 0.0),
                self.added_keys.get(call.key, 0.0),
            )
            if (
                call.route not in self.dropped_routes
                and call.key not in self.revoked_keys
                and call.sent_ms - known_ms > CONFIG_MS
            ):
                what = f'known route and key got status {call.status}'
                add(Rule.CONFIG, what)
        revoked_ms = self.revoked_keys.get(call.key)
        if revoked_ms is not None and any(
            run.at_ms - revoked_ms > REVOKE_MS
            and call.sent_ms - revoked_ms > REVOKE_MS
            and self.is_settled(call.gateway, run.at_ms)
            for run in runs
        ):
            add(Rule.CONFIG, f'ran with revoked key {call.key}')
        # Otherwise `losses` finds these and more.
        if not self.plan.is_planned_only and self._is_lost(call, runs):
            add(
                Rule.LOST,
                'cut off by a graceful shutdown without other faults',
            )
        if call.has_disconnected and is_settled:
            late = [
                run
                for run in runs
                if (run.ended_ms or float('inf')) - call.ended_ms
                > CANCEL_MS + DRAIN_MS
            ]
            if late and self.is_settled(
                call.gateway, call.ended_ms + CANCEL_MS + DRAIN_MS
            ):
                add(Rule.GONE, 'still running after its caller disconnected')
        return found

    def _is_lost(self, call: Call, runs: list[Run]) -> bool:
        if (
            call.is_complete
            or call.has_disconnected
            or call.status not in (0, 200)
        ):
            return False
        if any(
            run.at_ms <= crash_ms <= call.ended_ms
            for run in runs
            for crash_ms in self.crashes_ms[run.endpoint]
        ):
            # Its own endpoint broke it off.
            return False
        for stop_ms in self.stops[call.gateway]:
            if not call.sent_ms - self.grace_ms < stop_ms <= call.ended_ms:
                continue
            if call.sent_ms > stop_ms and not runs:
                # It crossed the close of its connection.
                continue
            is_excused = call.sent_ms <= stop_ms + EXCUSED_AFTER_STOP_MS and (
                any(
                    (run.ended_ms or float('inf'))
                    >= stop_ms + self.grace_ms * LAST_GRACE_SHARE
                    for run in runs
                )
            )
            if is_excused:
                continue
            return self.is_settled(call.gateway, stop_ms) and not any(
                start <= call.ended_ms and stop_ms <= end
                for start, end in self.disruptions[call.gateway]
            )
        return False

    def _check_rest(self, rest: Rest) -> list[Breach]:
        if self.has_disruption(rest.gateway, rest.from_ms, rest.to_ms):
            return []
        from_ms = rest.from_ms + REST_SLACK_MS
        count = sum(
            from_ms < at_ms < rest.to_ms
            for gateway, endpoint, at_ms in self.arrivals
            if (gateway, endpoint) == (rest.gateway, rest.endpoint)
        )
        if count <= REST_REQUESTS:
            return []
        what = f'{rest.endpoint} got {count} requests from {rest.gateway}'
        return [Breach(Rule.REST, f'{what} while it rested')]

    def _check_rate_limit(self, limit: RateLimit) -> list[Breach]:
        counted_ms = sorted(
            at_ms
            for gateway, endpoint, at_ms in self.arrivals
            if endpoint == limit.endpoint
            and limit.from_ms + SETTLING_MS <= at_ms < limit.to_ms
            and limit.told_ms.get(gateway, at_ms) + LIMIT_TOLD_MS <= at_ms
            and self.is_settled(gateway, at_ms)
        )
        worst = max(
            (
                sum(
                    from_ms <= at_ms < from_ms + LIMIT_WINDOW_MS
                    for at_ms in counted_ms
                )
                for from_ms in counted_ms
            ),
            default=0,
        )
        window_s = LIMIT_WINDOW_MS / types.SECOND_MS
        allowed = limit.per_s * window_s * LIMIT_OVERRUN + LIMIT_SLACK
        if worst <= allowed:
            return []
        what = f'{limit.endpoint} got {worst} requests in {window_s:.0f} s'
        return [Breach(Rule.LIMIT, f'{what}, allowed {allowed:.1f}')]

    def _check_crashes(self, name: str, part: CrashingPart) -> list[Breach]:
        if len(part.crashes_ms) < part.crashes_to_learn:
            return []
        learned_ms = sorted(part.crashes_ms)[part.crashes_to_learn - 1]
        count = sum(
            at_ms > learned_ms + SETTLING_MS
            and self.is_settled(gateway, at_ms)
            for gateway, at_ms in part.arrivals
        )
        if count <= MAX_CRASHING_REQUESTS:
            return []
        what = f'{count} requests with {name} reached endpoints'
        return [Breach(Rule.CRASH, f'{what} after it should be contained')]

    def _check_leaving(self, run: Run) -> list[Breach]:
        key = run.gateway, run.endpoint, run.start
        left_ms = self.leaving_ms.get(key)
        if left_ms is None or run.at_ms - left_ms <= DRAIN_MS:
            return []
        if self.has_disruption(run.gateway, left_ms, run.at_ms):
            return []
        what = f'{run.id} at {run.endpoint} from {run.gateway}'
        late_ms = run.at_ms - left_ms
        return [Breach(Rule.DRAIN, f'{what}, left {late_ms:.0f} ms before')]

    def _check_run(self, run: Run) -> list[Breach]:
        found = self._check_leaving(run)
        if not self.is_settled(run.gateway, run.at_ms):
            return found
        what = f'{run.id} at {run.endpoint} from {run.gateway}'
        removed_ms = self.removed_ms.get(run.endpoint)
        if removed_ms is not None and run.at_ms - removed_ms > DRAIN_MS:
            late_ms = run.at_ms - removed_ms
            found.append(Breach(Rule.DRAIN, f'{what}, {late_ms:.0f} ms late'))
        for domain, start, end in self.evacuated:
            if (
                run.domain == domain
                and start + EVACUATION_MS < run.at_ms < end
            ):
                found.append(Breach(Rule.EVACUATION, what))
        dropped_ms = self.dropped_routes.get(run.route)
        if dropped_ms is not None and run.at_ms - dropped_ms > CONFIG_MS:
            found.append(Breach(Rule.CONFIG, f'{what}, on a removed route'))
        return found

    def _check_regress(self, runs: dict[str, list[Run]]) -> list[Breach]:
        found = []
        for dropped, get_item, status in (
            (self.dropped_routes, lambda call: call.route, 404),
            (self.revoked_keys, lambda call: call.key, 401),
        ):
            calls = collections.defaultdict(list)
            for call in self.calls:
                if get_item(call) in dropped:
                    calls[call.gateway, get_item(call)].append(call)
            for (gateway, item), group in calls.items():
                found.extend(
                    Breach(
                        Rule.REGRESS,
                        f'{late.id} at {gateway} ran with {item}, for which '
                        f'{refused.id} got {status} before',
                    )
                    for refused, late in self._find_regress(
                        group, runs, dropped[item], status
                    )
                )
        return found

    def _find_regress(
        self,
        calls: list[Call],
        runs: dict[str, list[Run]],
        dropped_ms: float,
        status: int,
    ) -> list[tuple[Call, Call]]:
        """Return calls that ran after another one at the gateway was refused.

        Only a gateway whose process had known the route or key before.

        :param calls: calls at one gateway for one dropped route or key.
        :param runs: runs by call.
        :param dropped_ms: when it was dropped.
        :param status: status that refuses it.
        """
        found = []
        ran = [call for call in calls if runs.get(call.id)]
        for refused in calls:
            if refused.status != status or refused.sent_ms < dropped_ms:
                continue
            for late in ran:
                since_ms = late.sent_ms - refused.ended_ms
                if since_ms <= REVERT_SLACK_MS:
                    continue
                if any(
                    early.sent_ms < refused.sent_ms
                    and not self._has_started(
                        late.gateway, early.sent_ms, late.ended_ms
                    )
                    for early in ran
                ):
                    found.append((refused, late))
        return found

    def _has_started(self, gateway: str, from_ms: float, to_ms: float) -> bool:
        return any(from_ms <= ms <= to_ms for ms in self.starts[gateway])

    def _check_recovery(self) -> list[Breach]:
        calls = [
            call
            for call in self.calls
            if call.sent_ms > self.recovery_from_ms
            and not call.has_disconnected
        ]
        served = sum(call.status == 200 and call.is_complete for call in calls)
        if calls and served >= RECOVERED_SHARE * len(calls):
            return []
        return [
            Breach(Rule.RECOVER, f'{served} of {len(calls)} requests served')
        ]
