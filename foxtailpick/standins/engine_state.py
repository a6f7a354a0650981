"""State of the model engine stand-in: batch, prefix cache, warm-up.

The engine uses continuous batching: each additional completion in the batch
slows down every token of the batch. A completion above its capacity, which
is low while the engine is cold, overloads it: it then stalls for a while.
"""

import collections
import contextlib
import dataclasses
import typing

import xxhash

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import types
from foxtailpick.standins import prefix_cache
from foxtailpick.standins import weights as weights_lib


@dataclasses.dataclass(slots=True)
class EngineSettings:
    """Performance and faults of the engine.

    :param warm_limit: capacity in concurrent completions when warm.
    :param cold_limit: capacity in concurrent completions when cold.
    :param warm_after_tokens: tokens to generate until it is warm.
    :param token_ms: time between tokens with a batch of one.
    :param token_batch_ms: added for each additional completion in the batch.
    :param prefill_token_ms: prefill time of each uncached prompt token.
    :param cold_factor: factor on all token times when cold.
    :param stall_ms: duration of the stall after an overload.
    :param cache_tokens: capacity of the prefix cache.
    :param load_lag_ms: age of the load report.
    :param event_lag_ms: delay of cache events.
    :param event_loss_every: events whose sequence number is a multiple of
        this are lost, 0 for none.
    :param order_ms: time to apply an order.
    :param is_checking_fencing: whether outdated fencing numbers are
        rejected.
    :param models: models loaded initially; if empty, any model is served.
    """

    warm_limit: int = 16
    cold_limit: int = 4
    warm_after_tokens: int = 500
    token_ms: float = 2.0
    token_batch_ms: float = 0.1
    prefill_token_ms: float = 0.05
    cold_factor: float = 3.0
    stall_ms: float = 5_000.0
    cache_tokens: int = 20_000
    load_lag_ms: float = 500.0
    event_lag_ms: float = 300.0
    event_loss_every: int = 7
    order_ms: float = 50.0
    is_checking_fencing: bool = True
    models: frozenset[types.ModelId] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedOrder:
    """An order that the engine accepted.

    :param order: the order.
    :param at_ms: when it arrived.
    :param is_outdated: whether a higher fencing number came before it.
    """

    order: base.Order
    at_ms: float
    is_outdated: bool


class EngineOverloadedError(Exception):
    """The engine is overloaded; it stalls and rejects completions."""


class OrderFencedError(Exception):
    """The order has an outdated fencing number."""


def make_token(request: types.RequestId, index: int) -> str:
    """Return one token of the completion of a request.

    :param request: request id.
    :param index: index of the token in the completion.
    """
    digest = xxhash.xxh32_hexdigest(f'{request}/{index}'.encode())
    return f'{index}:{digest} '


def make_tokens(request: types.RequestId, count: int) -> list[str]:
    """Return all tokens of the completion of a request, for checks.

    :param request: request id.
    :param count: number of tokens.
    """
    return [make_token(request, index) for index in range(count)]


class Run:
    """One completion in the batch.

    :param engine: the engine that runs it.
    :param call: the request.
    :param cached_tokens: prompt tokens found in the prefix cache.
    """

    def __init__(
        self, engine: 'EngineState', call: base.ChatCall, cached_tokens: int
    ) -> None:
        self._engine = engine
        self.call = call
        self.cached_tokens = cached_tokens
        self.prompt_tokens = count_prompt_tokens(call)
        self.generated_tokens = 0
        self.is_cancelled = False
        self.was_admitted_before_cold = False
        self.is_stored = False

    async def generate_token(self) -> str | None:
        """Generate a token; None at the end or after a cancellation."""
        index = self.call.resume_from + self.generated_tokens
        if self.is_cancelled or index >= self.call.max_tokens:
            self._engine.store_prefix(self)
            return None
        await self._engine.wait_for_token(self)
        if self.is_cancelled:
            return None
        self.generated_tokens += 1
        return make_token(self.call.request, index)

    def make_usage(self) -> base.Usage:
        """Return the token usage of this run so far."""
        return base.Usage(
            self.prompt_tokens, self.cached_tokens, self.generated_tokens
        )


class EngineState:
    """State of an engine.

    :param settings: performance and faults; may be changed at any time.
    :param clock: the clock, by default that of the running trio loop.
    :param weights: store to load models and adapters from; None to load
        them without a store.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        clock: clock_lib.Clock | None = None,
        weights: weights_lib.WeightStoreState | None = None,
    ) -> None:
        self._weights = weights
        self.settings = settings or EngineSettings()
        self._clock = clock or clock_lib.Clock.from_trio()
        self._batch: list[Run] = []
        self._stalled_until_ms = 0.0
        self._warm_tokens = 0
        self._cache = prefix_cache.PrefixCache()
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=10_000)
        )
        self.models = set(self.settings.models)
        self.role = ''
        self.highest_fencing = 0
        self.orders: list[AppliedOrder] = []
        self.runs: collections.Counter[types.RequestId] = collections.Counter()
        self.overload_count = 0
        self.peak_running = 0

    @property
    def running(self) -> int:
        """Return the number of completions in the batch."""
        return len(self._batch)

    @property
    def warmth(self) -> float:
        """Return the progress of the warm-up, from 0 to 1."""
        return min(1.0, self._warm_tokens / self.settings.warm_after_tokens)

    def go_cold(self) -> None:
        """Reset the warm-up and clear the cache, without a notification."""
        self._warm_tokens = 0
        self._cache.clear()
        for run in self._batch:
            run.was_admitted_before_cold = True

    def warm_up(self) -> None:
        """Complete the warm-up immediately."""
        self._warm_tokens = self.settings.warm_after_tokens

    @contextlib.contextmanager
    def admit(self, call: base.ChatCall) -> typing.Iterator[Run]:
        """Add a completion to the batch while the context is open.

        :param call: the request.
        :raises EngineOverloadedError: if the engine is stalled, or if this
            completion overloads it.
        """
        self._require_capacity()
        run = Run(
            self,
            call,
            self._cache.look_up(call.chat, count_prompt_tokens(call)),
        )
        self.runs[call.request] += 1
        self._batch.append(run)
        self.peak_running = max(self.peak_running, len(self._batch))
        self._record_load()
        try:
            yield run
        finally:
            self._batch.remove(run)
            self.store_prefix(run)
            self._record_load()

    async def wait_for_token(self, run: Run) -> None:
        """Wait for the time that the next token of a run takes."""
        while self._clock.now() < self._stalled_until_ms:
            left_ms = self._stalled_until_ms - self._clock.now()
            await clock_lib.sleep_ms(left_ms)
        await clock_lib.sleep_ms(self._compute_step_ms(run))
        self._warm_tokens += 1

    def store_prefix(self, run: Run) -> None:
        """Store the tokens of a run in the prefix cache, once."""
        chat = run.call.chat
        if chat is None or run.generated_tokens == 0:
            return
        if run.is_stored or run.was_admitted_before_cold:
            return
        run.is_stored = True
        tokens = run.prompt_tokens + run.generated_tokens
        max_tokens = self.settings.cache_tokens
        self._cache.store(chat, tokens, max_tokens, self._clock.now())

    def cancel(self, request: types.RequestId) -> bool:
        """Cancel the runs of a request; tell whether there were any."""
        found = [run for run in self._batch if run.call.request == request]
        for run in found:
            run.is_cancelled = True
        return bool(found)

    def read_load(self) -> base.EngineLoad:
        """Return the load as of `load_lag_ms` ago."""
        now_ms = self._clock.now()
        for at_ms, running, tokens in reversed(self._loads):
            if at_ms <= now_ms - self.settings.load_lag_ms:
                return base.EngineLoad(running, tokens, now_ms - at_ms)
        return base.EngineLoad(0, 0, self.settings.load_lag_ms)

    def read_cache_events(self, after: int) -> list[base.CacheEvent]:
        """Return the events published so far, except lost ones.

        :param after: only events with a higher sequence number.
        """
        until_ms = self._clock.now() - self.settings.event_lag_ms
        loss_every = self.settings.event_loss_every
        return self._cache.list_events(after, until_ms, loss_every)

    async def apply_order(self, order: base.Order) -> None:
        """Apply an order.

        :param order: the order.
        :raises OrderFencedError: if its fencing number is outdated and
            fencing is checked.
        :raises weights.WeightsBusyError: if the weight store rejects the
            load.
        """
        is_outdated = order.fencing < self.highest_fencing
        if is_outdated and self.settings.is_checking_fencing:
            raise OrderFencedError(
                f'expected a fencing number of at least '
                f'{self.highest_fencing}, got {order.fencing}'
            )
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        now_ms = self._clock.now()
        self.orders.append(AppliedOrder(order, now_ms, is_outdated))
        await clock_lib.sleep_ms(self.settings.order_ms)
        if self._weights and order.kind is not base.OrderKind.SET_ROLE:
            await self._weights.fetch()
        if order.kind is base.OrderKind.SET_ROLE:
            self.role = order.target
        else:
            self.models.add(types.ModelId(order.target))

    def _require_capacity(self) -> None:
        now_ms = self._clock.now()
        if now_ms < self._stalled_until_ms:
            raise EngineOverloadedError(
                'the engine is stalled after an overload'
            )
        # Completions admitted before the engine went cold do not count: their
        # senders could not have known its lower capacity.
        counted = sum(not run.was_admitted_before_cold for run in self._batch)
        capacity = self._compute_capacity()
        if counted + 1 <= capacity:
            return
        self.overload_count += 1
        self._stalled_until_ms = now_ms + self.settings.stall_ms
        raise EngineOverloadedError(
            f'the engine is overloaded: its capacity is {capacity} completions'
        )

    def _compute_capacity(self) -> int:
        cfg = self.settings
        growth = (cfg.warm_limit - cfg.cold_limit) * self.warmth
        return cfg.cold_limit + int(growth)

    def _compute_step_ms(self, run: Run) -> float:
        """Return the time of the next token of a run.

        Completions of lower priority do not slow down those of higher
        priority.
        """
        cfg = self.settings
        others = sum(
            other.call.priority <= run.call.priority for other in self._batch
        )
        step_ms = cfg.token_ms + cfg.token_batch_ms * (others - 1)
        if run.generated_tokens == 0:
            fresh = run.prompt_tokens - run.cached_tokens
            step_ms += cfg.prefill_token_ms * fresh
        return step_ms * (
            cfg.cold_factor + (1 - cfg.cold_factor) * self.warmth
        )

    def _record_load(self) -> None:
        tokens = self._cache.size_tokens
        self._loads.append((self._clock.now(), len(self._batch), tokens))


def count_prompt_tokens(call: base.ChatCall) -> int:
    """Return the number of prompt tokens; each word counts as a token."""
    return sum(len(item.content.split()) for item in call.messages)
