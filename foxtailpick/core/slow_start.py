"""Concurrency limit of an endpoint that is fresh or went cold.

The limit grows with what the engine shows that it bears, and starts over
when the engine shows that it lost its warmth: first tokens that take much
longer, prompts that miss the cache, or a restart that it reports itself.
"""

import dataclasses

from loguru import logger

from foxtailpick.core import charts
from foxtailpick.core import invariants
from foxtailpick.core import limit_policy
from foxtailpick.core import strain as strain_lib
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStartOptions:
    """Settings of a slow start.

    :param initial_limit: requests that a cold engine bears for certain.
    :param max_limit: requests that a warm engine bears.
    :param first_token_ms: time to the first token of an idle warm engine.
    :param cold_strain: strain at which an engine is taken to be cold.
    :param cold_samples: late first tokens needed to take it as cold.
    :param cold_hit_ratio: part of the usual cache hits below which an
        engine is taken to be cold.
    :param hold_strain: strain of overdue first tokens from which on
        nothing is started until they come.
    :param max_failures: failures in a row after which an engine counts as
        starting.
    :param tokens_per_slot: tokens that an engine must have generated since
        it was cold for each request above the first ones, zero for no such
        bound. First tokens alone may come fast from an engine that falls
        over at the next request.
    """

    initial_limit: float = 2.0
    max_limit: float = 96.0
    first_token_ms: float = 250.0
    cold_strain: float = 4.0
    cold_samples: int = 3
    cold_hit_ratio: float = 0.25
    hold_strain: float = 2.0
    max_failures: int = 3
    tokens_per_slot: float = 0.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 1 <= self.initial_limit <= self.max_limit:
            raise ValueError(
                f'expected 1 <= initial_limit <= max_limit, got '
                f'{self.initial_limit} and {self.max_limit}; correct the '
                f'settings of the slow start'
            )


@dataclasses.dataclass(frozen=True, slots=True)
class StartTicket:
    """A started request, to be handed back with what became of it.

    :param number: serial number of the start.
    :param epoch: how often the engine had been found cold by then.
    :param started_ms: when it started.
    :param expected_ms: time to its first token without strain.
    """

    number: int
    epoch: int
    started_ms: float
    expected_ms: float


class SlowStart:
    """The limit of one endpoint, and its life cycle.

    :param options: its settings.
    :param policy: how the limit moves.
    :param monitor: checks the promise on slow starts.
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
        self._life = charts.StateMachine(
            charts.Chart.from_file('endpoint'),
            types.EndpointState,
            {
                'is_empty': lambda: not self._in_flight,
                'is_limit_reached': self._is_limit_reached,
            },
        )
        self._in_flight: dict[int, StartTicket] = {}
        self._pending: dict[int, StartTicket] = {}
        self._carried: set[int] = set()
        self._started = 0
        self._epoch = 0
        self._limit = options.initial_limit
        self._gauge = self._make_gauge()
        self._failures = 0
        self._cold_ms = 0.0
        self._warm_tokens = 0.0
        self._cut_ms = 0.0

    @classmethod
    def from_options(
        cls,
        options: SlowStartOptions,
        monitor: invariants.Monitor,
        policy: limit_policy.LimitPolicy | None = None,
    ) -> 'SlowStart':
        """Create the slow start of an endpoint.

        :param options: its settings.
        :param monitor: checks the promise on slow starts.
        :param policy: how the limit moves, additive increase and
            multiplicative decrease if none is given.
        """
        return cls(options, policy or limit_policy.make_aimd(), monitor)

    @property
    def state(self) -> types.EndpointState:
        """Return the state in the endpoint's life."""
        return self._life.state

    @property
    def in_flight(self) -> int:
        """Return how many requests were started and have not ended."""
        return len(self._in_flight)

    def limit(self, now_ms: float) -> int:
        """Return how many requests may be in flight.

        Requests with a first token from before the engine went cold do not
        count against what it bears now: their prompts have been read.

        :param now_ms: the current time; first tokens overdue by then show
            that the engine went cold.
        """
        self._look_for_overdue_first_tokens(now_ms)
        if self.state is types.EndpointState.STARTING:
            return 1
        if self.state not in _OPEN_STATES:
            return 0
        if self._count_overdue(self._options.hold_strain, now_ms) >= 2:
            return min(self.in_flight, int(self._limit))
        return int(
            min(self._limit + len(self._carried), self._options.max_limit)
        )

    def find_headroom(self, now_ms: float) -> float:
        """Return by how much the engine may still speed up, at least one.

        :param now_ms: the current time.
        """
        if self.state not in _GROWING_STATES:
            return 1.0
        return self._options.max_limit / max(self.limit(now_ms), 1)

    def on_started(
        self, now_ms: float, expected_ms: float | None = None
    ) -> StartTicket:
        """Record the start of a request.

        :param now_ms: the current time.
        :param expected_ms: time to the first token of this prompt on an
            idle warm engine, the one of the settings if None.
        :returns: the ticket for the other calls.
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
        self._pending[ticket.number] = ticket
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
        :param hit_ratio: part of the prompt found in the cache, out of
            what placement expected; None if the engine does not say.
        """
        if self._pending.pop(ticket.number, None) is None:
            return
        self._failures = 0
        is_first_answer = self._life.fire('answered')
        if ticket.epoch < self._epoch:
            return
        strain = self._gauge.record(
            ticket.started_ms, ticket.expected_ms, now_ms
        )
        if self._gauge.is_late():
            self._go_cold_if_above_initial(now_ms, 'first tokens late')
        if hit_ratio is not None and self._gauge.is_missing_cache(hit_ratio):
            self._go_cold_if_above_initial(now_ms, 'cache misses')
        if ticket.epoch == self._epoch and not is_first_answer:
            self._move_limit(ticket, strain, now_ms)

    def on_generated(self, tokens: float) -> None:
        """Record tokens that the engine generated.

        :param tokens: tokens since the last call; a call of a plain
            service counts as some.
        """
        self._warm_tokens += tokens

    def on_paused(self, ticket: StartTicket) -> None:
        """Record that a started request was taken off the engine."""
        self.on_completed(ticket)

    def on_resumed(self, ticket: StartTicket) -> None:
        """Record that a paused request goes on.

        It was let through before, so it may also go on while the endpoint
        drains.
        """
        self._in_flight[ticket.number] = ticket

    def on_completed(self, ticket: StartTicket) -> None:
        """Record the end of a request, cancelled ones included."""
        self._in_flight.pop(ticket.number, None)
        self._pending.pop(ticket.number, None)
        self._carried.discard(ticket.number)

    def on_failed(self, ticket: StartTicket, now_ms: float) -> None:
        """Record a request that failed by a fault of the engine.

        :param ticket: the started request.
        :param now_ms: the current time.
        """
        self.on_completed(ticket)
        self._failures += 1
        self._limit = max(self._limit / 2, self._options.initial_limit)
        self._cut_ms = now_ms
        if self._failures >= self._options.max_failures:
            self.on_engine_lost(now_ms)

    def on_engine_lost(self, now_ms: float) -> None:
        """Record that the engine restarted or does not answer."""
        if self._life.fire('engine_lost'):
            self._start_over(now_ms, 'engine lost')

    def on_cold(self, now_ms: float, reason: str) -> None:
        """Record that the engine went cold.

        :param now_ms: the current time.
        :param reason: what shows it, for the log.
        """
        if self._life.fire('went_cold'):
            self._start_over(now_ms, reason)

    def drain(self) -> None:
        """Take no new work; what is in flight goes on."""
        self._life.fire('drain')

    def undrain(self) -> None:
        """Take new work again, unless the drain is complete."""
        self._life.fire('undrain')

    def finish_drain(self) -> bool:
        """End the endpoint's life once nothing is in flight.

        :returns: whether the endpoint is gone now.
        """
        self._life.fire('emptied')
        return self.state is types.EndpointState.GONE

    def _is_limit_reached(self) -> bool:
        return self._limit >= self._options.max_limit

    def _find_ceiling(self) -> float:
        options = self._options
        if not options.tokens_per_slot:
            return options.max_limit
        slots = self._warm_tokens / options.tokens_per_slot
        return min(options.initial_limit + slots, options.max_limit)

    def _make_gauge(self) -> strain_lib.StrainGauge:
        return strain_lib.StrainGauge(
            strain_lib.ColdSigns(
                self._options.cold_strain,
                self._options.cold_samples,
                self._options.cold_hit_ratio,
            )
        )

    def _count_overdue(self, strain: float, now_ms: float) -> int:
        strain *= self._gauge.find_base(now_ms)
        return sum(
            now_ms - ticket.started_ms > strain * ticket.expected_ms
            for ticket in self._pending.values()
            if ticket.epoch == self._epoch
        )

    def _look_for_overdue_first_tokens(self, now_ms: float) -> None:
        overdue = self._count_overdue(self._options.cold_strain, now_ms)
        if self._gauge.is_late(overdue):
            oldest = min(
                (ticket.started_ms for ticket in self._pending.values()),
                default=now_ms,
            )
            self._gauge.note_overdue_since(oldest)
            self._go_cold_if_above_initial(now_ms, 'first tokens overdue')

    def _go_cold_if_above_initial(self, now_ms: float, reason: str) -> None:
        if self._limit > self._options.initial_limit:
            self.on_cold(now_ms, reason)

    def _move_limit(
        self, ticket: StartTicket, strain: float, now_ms: float
    ) -> None:
        wanted = self._policy(
            limit_policy.Observation(
                self._limit,
                len(self._in_flight.keys() - self._carried),
                self._gauge.average,
                strain,
                now_ms - self._cold_ms,
                ticket.expected_ms,
                now_ms - self._cut_ms,
            )
        )
        if wanted < self._limit:
            self._cut_ms = now_ms
        self._limit = min(
            max(wanted, self._options.initial_limit), self._find_ceiling()
        )
        if self._life.fire('grown'):
            logger.info('WARM ready. limit={:.0f}', self._limit)

    def _start_over(self, now_ms: float, reason: str) -> None:
        logger.warning(
            'WARM cold again. reason={} limit_before={:.0f} in_flight={}',
            reason,
            self._limit,
            self.in_flight,
        )
        self._epoch += 1
        self._carried = {
            number
            for number, ticket in self._in_flight.items()
            if number not in self._pending
            and ticket.started_ms < self._gauge.late_since_ms
        }
        self._limit = self._options.initial_limit
        self._gauge = self._make_gauge()
        self._failures = 0
        self._warm_tokens = 0.0
        self._cold_ms = self._cut_ms = now_ms


_GROWING_STATES = frozenset(
    {types.EndpointState.STARTING, types.EndpointState.WARMING}
)
_OPEN_STATES = frozenset(
    {types.EndpointState.WARMING, types.EndpointState.READY}
)
