"""Adaptive concurrency limit of an endpoint that is new or went cold.

The limit grows while first tokens arrive in time. It is reset when the
engine appears cold: first tokens take much longer, prompts miss the cache,
or the engine reports a restart.
"""

import dataclasses

from loguru import logger

from foxtailpick.core import charts
from foxtailpick.core import invariants
from foxtailpick.core import limit_policy
from foxtailpick.core import slowdown_tracker
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStartOptions:
    """Settings of a slow start.

    :param initial_limit: concurrency that a cold engine can sustain.
    :param max_limit: concurrency that a warm engine can sustain.
    :param first_token_ms: time to first token of an idle warm engine.
    :param cold_slowdown: slowdown at which an engine is considered cold.
    :param cold_samples: late first tokens after which it is considered
        cold.
    :param cold_hit_ratio: fraction of the usual cache hit ratio below
        which an engine is considered cold.
    :param hold_slowdown: slowdown of overdue first tokens at which no
        request is started until they arrive.
    :param max_failures: consecutive failures after which an engine is
        considered lost and its endpoint starting.
    :param tokens_per_slot: tokens that an engine must have generated since
        it was cold for each slot above `initial_limit`, zero for no such
        bound. Fast first tokens alone do not show that an engine can take
        another request without failing.
    """

    initial_limit: float = 2.0
    max_limit: float = 96.0
    first_token_ms: float = 250.0
    cold_slowdown: float = 4.0
    cold_samples: int = 3
    cold_hit_ratio: float = 0.25
    hold_slowdown: float = 2.0
    max_failures: int = 3
    tokens_per_slot: float = 0.0

    def __post_init__(self) -> None:
        """Validate the ranges."""
        if not 1 <= self.initial_limit <= self.max_limit:
            raise ValueError(
                f'expected 1 <= initial_limit <= max_limit, got '
                f'{self.initial_limit} and {self.max_limit}; correct the '
                f'settings of the slow start'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class StartTicket:
    """Identifies a started request in later calls.

    :param number: serial number of the request.
    :param epoch: number of cold resets before it started.
    :param started_ms: when it started.
    :param expected_ms: expected time to first token of an idle warm engine.
    """

    number: int
    epoch: int
    started_ms: float
    expected_ms: float


class SlowStart:
    """Concurrency limit and life cycle of one endpoint.

    :param options: settings of the slow start.
    :param policy: computes the next limit.
    :param monitor: checks the slow-start invariant.
    """

    def __init__(
        self,
        options: SlowStartOptions,
        policy: limit_policy.LimitPolicy,
        monitor: invariants.Monitor,
    ) -> None:
        self._options = options
        self._policy = policy
        self._monitor = monitor
        self._state_machine = charts.StateMachine(
            charts.Chart.from_file('endpoint'),
            types.EndpointState,
            {
                'is_empty': lambda: not self._in_flight,
                'is_limit_reached': self._is_limit_reached,
            },
        )
        self._in_flight: dict[int, StartTicket] = {}
        self._awaiting_first_token: dict[int, StartTicket] = {}
        self._carried_over: set[int] = set()
        self._started = 0
        self._epoch = 0
        self._limit = options.initial_limit
        self._tracker = self._make_tracker()
        self._failures = 0
        self._cold_ms = 0.0
        self._tokens_since_cold = 0.0
        self._last_decrease_ms = 0.0

    @classmethod
    def from_options(
        cls,
        options: SlowStartOptions,
        monitor: invariants.Monitor,
        policy: limit_policy.LimitPolicy | None = None,
    ) -> 'SlowStart':
        """Create the slow start of an endpoint.

        :param options: settings of the slow start.
        :param monitor: checks the slow-start invariant.
        :param policy: computes the next limit, additive increase and
            multiplicative decrease by default.
        """
        return cls(options, policy or limit_policy.make_aimd(), monitor)

    @property
    def state(self) -> types.EndpointState:
        """Return the life cycle state of the endpoint."""
        return self._state_machine.state

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._in_flight)

    def limit(self, now_ms: float) -> int:
        """Return the current concurrency limit.

        Requests that had their first token before the engine went cold do
        not count against the limit: their prefill is complete.

        :param now_ms: the current time; first tokens overdue by then may
            reset the limit.
        """
        self._check_overdue_first_tokens(now_ms)
        if self.state is types.EndpointState.STARTING:
            return 1
        if self.state not in _ADMITTING_STATES:
            return 0
        if self._count_overdue(self._options.hold_slowdown, now_ms) >= 2:
            return min(self.in_flight, int(self._limit))
        return int(
            min(self._limit + len(self._carried_over), self._options.max_limit)
        )

    def compute_expected_speedup(self, now_ms: float) -> float:
        """Return the ratio of the final to the current limit, at least one.

        :param now_ms: the current time.
        """
        if self.state not in _WARMING_STATES:
            return 1.0
        return self._options.max_limit / max(self.limit(now_ms), 1)

    def on_started(
        self, now_ms: float, expected_ms: float | None = None
    ) -> StartTicket:
        """Record the start of a request.

        :param now_ms: the current time.
        :param expected_ms: time to first token of this prompt on an idle
            warm engine, by default that of the settings.
        :returns: the ticket for later calls.
        """
        limit = self.limit(now_ms)
        self._monitor.check(
            invariants.Invariant.SLOW_START,
            self.in_flight < limit,
            lambda: f'{self.in_flight} in flight, the limit is {limit}',
        )
        self._started += 1
        ticket = StartTicket(
            self._started,
            self._epoch,
            now_ms,
            expected_ms or self._options.first_token_ms,
        )
        self._in_flight[ticket.number] = ticket
        self._awaiting_first_token[ticket.number] = ticket
        return ticket

    def on_first_token(
        self,
        ticket: StartTicket,
        now_ms: float,
        hit_ratio: float | None = None,
    ) -> None:
        """Record the first token, or the answer of a plain service.

        :param ticket: the started request.
        :param now_ms: the current time.
        :param hit_ratio: prompt tokens found in the cache, as a fraction
            of those that placement expected there; None if not reported.
        """
        if self._awaiting_first_token.pop(ticket.number, None) is None:
            return
        self._failures = 0
        is_first_answer = self._state_machine.fire('answered')
        if ticket.epoch < self._epoch:
            return
        slowdown = self._tracker.record(
            ticket.started_ms, ticket.expected_ms, now_ms
        )
        if self._tracker.has_late_first_tokens():
            self._reset_if_above_initial(now_ms, 'first tokens late')
        if hit_ratio is not None and self._tracker.record_hit_ratio(hit_ratio):
            self._reset_if_above_initial(now_ms, 'cache misses')
        if ticket.epoch == self._epoch and not is_first_answer:
            self._update_limit(ticket, slowdown, now_ms)

    def on_generated(self, tokens: float) -> None:
        """Record tokens that the engine generated.

        :param tokens: tokens since the last report; an answer of a plain
            service counts as a fixed number.
        """
        self._tokens_since_cold += tokens

    def on_paused(self, ticket: StartTicket) -> None:
        """Record that a running request was paused."""
        self.on_completed(ticket)

    def on_resumed(self, ticket: StartTicket) -> None:
        """Record that a paused request was resumed.

        It was admitted before, so it may resume while the endpoint drains.
        """
        self._in_flight[ticket.number] = ticket

    def on_completed(self, ticket: StartTicket) -> None:
        """Record that a request completed or was cancelled."""
        self._in_flight.pop(ticket.number, None)
        self._awaiting_first_token.pop(ticket.number, None)
        self._carried_over.discard(ticket.number)

    def on_failed(self, ticket: StartTicket, now_ms: float) -> None:
        """Record that a request failed because of the engine.

        :param ticket: the started request.
        :param now_ms: the current time.
        """
        self.on_completed(ticket)
        self._failures += 1
        self._limit = max(self._limit / 2, self._options.initial_limit)
        self._last_decrease_ms = now_ms
        if self._failures >= self._options.max_failures:
            self.on_engine_lost(now_ms)

    def on_engine_lost(self, now_ms: float) -> None:
        """Record that the engine restarted or is unresponsive."""
        if self._state_machine.fire('engine_lost'):
            self._reset(now_ms, 'engine lost')

    def on_cold(self, now_ms: float, reason: str) -> None:
        """Record that the engine went cold.

        :param now_ms: the current time.
        :param reason: the evidence, for the log.
        """
        if self._state_machine.fire('went_cold'):
            self._reset(now_ms, reason)

    def drain(self) -> None:
        """Stop admitting requests; those in flight continue."""
        self._state_machine.fire('drain')

    def undrain(self) -> None:
        """Admit requests again, unless the drain is complete."""
        self._state_machine.fire('undrain')

    def finish_drain(self) -> bool:
        """Complete the drain if nothing is in flight.

        :returns: whether the drain is complete.
        """
        self._state_machine.fire('emptied')
        return self.state is types.EndpointState.GONE

    def _is_limit_reached(self) -> bool:
        return self._limit >= self._options.max_limit

    def _compute_upper_bound(self) -> float:
        options = self._options
        if not options.tokens_per_slot:
            return options.max_limit
        slots = self._tokens_since_cold / options.tokens_per_slot
        return min(options.initial_limit + slots, options.max_limit)

    def _make_tracker(self) -> slowdown_tracker.SlowdownTracker:
        return slowdown_tracker.SlowdownTracker(
            slowdown_tracker.ColdThresholds(
                self._options.cold_slowdown,
                self._options.cold_samples,
                self._options.cold_hit_ratio,
            )
        )

    def _count_overdue(self, slowdown: float, now_ms: float) -> int:
        slowdown *= self._tracker.compute_baseline(now_ms)
        return sum(
            now_ms - ticket.started_ms > slowdown * ticket.expected_ms
            for ticket in self._awaiting_first_token.values()
            if ticket.epoch == self._epoch
        )

    def _check_overdue_first_tokens(self, now_ms: float) -> None:
        overdue = self._count_overdue(self._options.cold_slowdown, now_ms)
        if self._tracker.has_late_first_tokens(overdue):
            oldest = min(
                (
                    ticket.started_ms
                    for ticket in self._awaiting_first_token.values()
                ),
                default=now_ms,
            )
            self._tracker.record_late_start(oldest)
            self._reset_if_above_initial(now_ms, 'first tokens overdue')

    def _reset_if_above_initial(self, now_ms: float, reason: str) -> None:
        if self._limit > self._options.initial_limit:
            self.on_cold(now_ms, reason)

    def _update_limit(
        self, ticket: StartTicket, slowdown: float, now_ms: float
    ) -> None:
        new_limit = self._policy(
            limit_policy.Observation(
                self._limit,
                len(self._in_flight.keys() - self._carried_over),
                self._tracker.average,
                slowdown,
                now_ms - self._cold_ms,
                ticket.expected_ms,
                now_ms - self._last_decrease_ms,
            )
        )
        if new_limit < self._limit:
            self._last_decrease_ms = now_ms
        self._limit = min(
            max(new_limit, self._options.initial_limit),
            self._compute_upper_bound(),
        )
        if self._state_machine.fire('grown'):
            logger.info('WARM ready. limit={:.0f}', self._limit)

    def _reset(self, now_ms: float, reason: str) -> None:
        logger.warning(
            'WARM cold again. reason={} limit_before={:.0f} in_flight={}',
            reason,
            self._limit,
            self.in_flight,
        )
        self._epoch += 1
        self._carried_over = {
            number
            for number, ticket in self._in_flight.items()
            if number not in self._awaiting_first_token
            and ticket.started_ms < self._tracker.late_since_ms
        }
        self._limit = self._options.initial_limit
        self._tracker = self._make_tracker()
        self._failures = 0
        self._tokens_since_cold = 0.0
        self._cold_ms = self._last_decrease_ms = now_ms


_WARMING_STATES = frozenset(
    {types.EndpointState.STARTING, types.EndpointState.WARMING}
)
_ADMITTING_STATES = frozenset(
    {types.EndpointState.WARMING, types.EndpointState.READY}
)
