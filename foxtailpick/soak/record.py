"""What callers, endpoints and the operator saw, and what must hold of it."""

import collections
import dataclasses
import enum

from foxtailpick.core.dispatch import model

# Bounds of the deployments, in milliseconds.
CONTACT_MS = 3_000.0
DRAIN_MS = 2_000.0
CONFIG_MS = 2_000.0
EVACUATION_MS = 5_000.0
GONE_MS = 500.0
# Share of requests that is served after all faults have ended.
RECOVERED_SHARE = 0.25
PROMISES = frozenset((408, 421, 429, 503))


class Rule(enum.Enum):
    """A promise that is checked."""

    MIXED = 'mixed'
    ORDER = 'order'
    TWICE = 'twice'
    REFUSED = 'refused'
    DRAIN = 'drain'
    EVACUATION = 'evacuation'
    CONFIG = 'config'
    LOST = 'lost'
    GONE = 'gone'
    RECOVER = 'recover'


@dataclasses.dataclass(frozen=True, slots=True)
class Breach:
    """A promise that was found broken."""

    rule: Rule
    detail: str


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller saw it.

    :param status: status of the answer, 0 if none came.
    :param is_whole: whether the answer came to its end.
    :param body: what came of its body.
    """

    id: str
    gateway: str
    kind: model.RequestKind
    may_move: bool
    route: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    is_whole: bool = False
    signature: str = ''
    body: bytes = b''
    expected: bytes = b''
    has_left: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run twice."""
        return self.kind is model.RequestKind.SAFE or self.may_move


@dataclasses.dataclass(slots=True)
class Run:
    """A request as an endpoint saw it."""

    id: str
    gateway: str
    endpoint: str
    domain: str
    route: str
    at_ms: float
    ended_ms: float | None = None


class Record:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.runs: list[Run] = []
        self.removed_ms: dict[str, float] = {}
        self.evacuated: list[tuple[str, float, float]] = []
        self.dropped_routes: dict[str, float] = {}
        self.added_routes: dict[str, float] = {}
        self.troubles: dict[str, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        self.stops: dict[str, list[float]] = collections.defaultdict(list)
        self.calm_from_ms = float('inf')

    def note_trouble(self, gateway: str, from_ms: float, to_ms: float) -> None:
        """Record that a gateway is harmed for a while."""
        self.troubles[gateway].append((from_ms, to_ms))

    def is_in_touch(self, gateway: str, at_ms: float) -> bool:
        """Tell whether a gateway was unharmed for the contact time."""
        return not any(
            start <= at_ms and at_ms - CONTACT_MS <= end
            for start, end in self.troubles[gateway]
        )

    def check(self) -> list[Breach]:
        """Return all breaches."""
        runs = collections.defaultdict(list)
        for run in self.runs:
            runs[run.id].append(run)
        breaches = []
        for call in self.calls:
            breaches.extend(self._check_call(call, runs[call.id]))
        for run in self.runs:
            breaches.extend(self._check_run(run))
        breaches.extend(self._check_recovery())
        return breaches

    def _check_call(self, call: Call, runs: list[Run]) -> list[Breach]:
        found = []

        def add(rule: Rule, detail: str) -> None:
            found.append(Breach(rule, f'{call.id} ({call.route}): {detail}'))

        if not call.is_idempotent and len(runs) > 1:
            add(Rule.TWICE, f'ran at {[run.endpoint for run in runs]}')
        if not call.is_idempotent and call.status in PROMISES and runs:
            add(Rule.REFUSED, f'answered {call.status} but ran')
        if call.status == 200 and call.is_whole:
            if call.signature not in {f'{r.endpoint}/{r.id}' for r in runs}:
                add(Rule.MIXED, f'signature {call.signature!r}')
            if call.body != call.expected:
                add(Rule.MIXED, f'body {call.body[:60]!r}')
        elif call.status == 200 and not call.expected.startswith(call.body):
            add(Rule.ORDER, f'body {call.body[-60:]!r} is no beginning')
        in_touch = self.is_in_touch(call.gateway, call.ended_ms)
        if in_touch and call.status in (401, 404):
            known_ms = self.added_routes.get(call.route, 0.0)
            if (
                call.route not in self.dropped_routes
                and call.sent_ms - known_ms > CONFIG_MS
            ):
                add(Rule.CONFIG, f'answered {call.status}')
        if self._is_lost(call):
            add(Rule.LOST, 'no answer beside a SIGTERM alone')
        if call.has_left and in_touch:
            late = [
                run
                for run in runs
                if (run.ended_ms or float('inf')) - call.ended_ms
                > GONE_MS + DRAIN_MS
            ]
            if late and self.is_in_touch(
                call.gateway, call.ended_ms + GONE_MS + DRAIN_MS
            ):
                add(Rule.GONE, 'still worked on after its caller left')
        return found

    def _is_lost(self, call: Call) -> bool:
        if call.is_whole or call.has_left or call.status not in (0, 200):
            return False
        for stop_ms in self.stops[call.gateway]:
            if call.sent_ms < stop_ms <= call.ended_ms:
                return self.is_in_touch(call.gateway, stop_ms) and not any(
                    start <= call.ended_ms and stop_ms <= end
                    for start, end in self.troubles[call.gateway]
                )
        return False

    def _check_run(self, run: Run) -> list[Breach]:
        if not self.is_in_touch(run.gateway, run.at_ms):
            return []
        what = f'{run.id} at {run.endpoint} from {run.gateway}'
        found = []
        gone_ms = self.removed_ms.get(run.endpoint)
        if gone_ms is not None and run.at_ms - gone_ms > DRAIN_MS:
            late_ms = run.at_ms - gone_ms
            found.append(Breach(Rule.DRAIN, f'{what}, {late_ms:.0f} ms late'))
        for domain, start, end in self.evacuated:
            if (
                run.domain == domain
                and start + EVACUATION_MS < run.at_ms < end
            ):
                found.append(Breach(Rule.EVACUATION, what))
        dropped_ms = self.dropped_routes.get(run.route)
        if dropped_ms is not None and run.at_ms - dropped_ms > CONFIG_MS:
            found.append(Breach(Rule.CONFIG, f'{what}, on a dropped route'))
        return found

    def _check_recovery(self) -> list[Breach]:
        calls = [
            call
            for call in self.calls
            if call.sent_ms > self.calm_from_ms and not call.has_left
        ]
        served = sum(call.status == 200 and call.is_whole for call in calls)
        if calls and served >= RECOVERED_SHARE * len(calls):
            return []
        return [Breach(Rule.RECOVER, f'{served} of {len(calls)} were served')]
