"""State of the model engine stand-in: batch, prefix cache, coldness.

The engine batches continuously: each further completion in the batch makes
every token of the batch slower. It falls over when it is given more than
it bears at the time, which is little while it is cold.
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
    """How the stand-in behaves.

    :param warm_limit: completions that it bears when warm.
    :param cold_limit: completions that it bears when cold.
    :param warm_after_tokens: tokens of work until it is warm.
    :param token_ms: time between tokens with a batch of one.
    :param token_batch_ms: added for each further completion in the batch.
    :param prefill_token_ms: time for each prompt token not in the cache.
    :param cold_factor: how much slower everything is when cold.
    :param stall_ms: how long it does nothing after it fell over.
    :param cache_tokens: memory of the prefix cache.
    :param load_lag_ms: how old the load report is.
    :param event_lag_ms: how late cache events are published.
    :param event_loss_every: each event with a multiple of this number is
        lost, 0 for none.
    :param order_ms: how long carrying out an order takes.
    :param is_checking_fencing: whether old fencing numbers are refused.
    :param models: models it has loaded at the start; none means any.
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
    """An order that the engine carried out.

    :param order: the order.
    :param at_ms: when it arrived.
    :param is_outdated: whether its fencing number was below one seen.
    """

    order: base.Order
    at_ms: float
    is_outdated: bool


class FellOverError(Exception):
    """The engine does nothing now and refuses work."""


class OrderFencedError(Exception):
    """The order carries an old fencing number."""


def make_token(request: types.RequestId, index: int) -> str:
    """Return one token of the answer to a request.

    :param request: the request.
    :param index: index of the token in the answer.
    """
    digest = xxhash.xxh32_hexdigest(f'{request}/{index}'.encode())
    return f'{index}:{digest} '


def expected_tokens(request: types.RequestId, count: int) -> list[str]:
    """Return the whole answer to a request, for checks in tests.

    :param request: the request.
    :param count: tokens of the answer.
    """
    return [make_token(request, index) for index in range(count)]


class Run:
    """One completion in the batch.

    :param engine: the engine that runs it.
    :param call: what was asked.
    :param cached_tokens: prompt tokens found in the cache.
    """

    def __init__(
        self, engine: 'EngineState', call: base.ChatCall, cached_tokens: int
    ) -> None:
        self._engine = engine
        self.call = call
        self.cached_tokens = cached_tokens
        self.prompt_tokens = count_prompt_tokens(call)
        self.made_tokens = 0
        self.is_cancelled = False
        self.is_before_cold = False
        self.is_stored = False

    async def make_next_token(self) -> str | None:
        """Generate a token, None at the end or after a cancellation."""
        index = self.call.resume_from + self.made_tokens
        if self.is_cancelled or index >= self.call.max_tokens:
            self._engine.store_prefix(self)
            return None
        await self._engine.take_step(self)
        if self.is_cancelled:
            return None
        self.made_tokens += 1
        return make_token(self.call.request, index)

    def make_usage(self) -> base.Usage:
        """Return the tokens that this run has taken so far."""
        return base.Usage(
            self.prompt_tokens, self.cached_tokens, self.made_tokens
        )


class EngineState:
    """The whole state of an engine.

    :param settings: how it behaves; may be changed while it runs.
    :param clock: the clock, by default that of the running trio loop.
    :param weights: where models and adapters come from, None for at hand.
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
        self.fell_over = 0
        self.peak_running = 0

    @property
    def running(self) -> int:
        """Return the completions in the batch now."""
        return len(self._batch)

    @property
    def warmth(self) -> float:
        """Return how warm the engine is, from 0 to 1."""
        return min(1.0, self._warm_tokens / self.settings.warm_after_tokens)

    def go_cold(self) -> None:
        """Lose warmth and cache, without any notice."""
        self._warm_tokens = 0
        self._cache.clear()
        for run in self._batch:
            run.is_before_cold = True

    def warm_up(self) -> None:
        """Become warm at once."""
        self._warm_tokens = self.settings.warm_after_tokens

    @contextlib.contextmanager
    def admit(self, call: base.ChatCall) -> typing.Iterator[Run]:
        """Take a completion into the batch while the context is open.

        :param call: what is asked.
        :raises FellOverError: if the engine has fallen over, or does now.
        """
        self._require_standing()
        run = Run(
            self, call, self._cache.use(call.chat, count_prompt_tokens(call))
        )
        self.runs[call.request] += 1
        self._batch.append(run)
        self.peak_running = max(self.peak_running, len(self._batch))
        self._note_load()
        try:
            yield run
        finally:
            self._batch.remove(run)
            self.store_prefix(run)
            self._note_load()

    async def take_step(self, run: Run) -> None:
        """Wait as long as the next token of a run takes."""
        while self._clock.now() < self._stalled_until_ms:
            left_ms = self._stalled_until_ms - self._clock.now()
            await clock_lib.sleep_ms(left_ms)
        await clock_lib.sleep_ms(self._compute_step_ms(run))
        self._warm_tokens += 1

    def store_prefix(self, run: Run) -> None:
        """Keep what a run has made in the prefix cache, once."""
        chat = run.call.chat
        if chat is None or run.made_tokens == 0:
            return
        if run.is_stored or run.is_before_cold:
            return
        run.is_stored = True
        tokens = run.prompt_tokens + run.made_tokens
        max_tokens = self.settings.cache_tokens
        self._cache.store(chat, tokens, max_tokens, self._clock.now())

    def cancel(self, request: types.RequestId) -> bool:
        """Stop the runs of a request; tell whether there were any."""
        found = [run for run in self._batch if run.call.request == request]
        for run in found:
            run.is_cancelled = True
        return bool(found)

    def read_load(self) -> base.LoadReport:
        """Return the load as it was some time ago."""
        now_ms = self._clock.now()
        for at_ms, running, tokens in reversed(self._loads):
            if at_ms <= now_ms - self.settings.load_lag_ms:
                return base.LoadReport(running, tokens, now_ms - at_ms)
        return base.LoadReport(0, 0, self.settings.load_lag_ms)

    def read_cache_events(self, after: int) -> list[base.CacheEvent]:
        """Return the events published so far, without the lost ones."""
        until_ms = self._clock.now() - self.settings.event_lag_ms
        loss_every = self.settings.event_loss_every
        return self._cache.list_events(after, until_ms, loss_every)

    async def apply_order(self, order: base.Order) -> None:
        """Carry out an order.

        :param order: the order.
        :raises OrderFencedError: if fencing is checked and it is outdated.
        :raises weights.WeightsBusyError: if the weight store refuses.
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

    def _require_standing(self) -> None:
        now_ms = self._clock.now()
        if now_ms < self._stalled_until_ms:
            raise FellOverError('the engine has fallen over and is stalled')
        # Work taken in before the engine went cold without notice is not
        # counted: nobody could have known.
        counted = sum(not run.is_before_cold for run in self._batch)
        bearable = self._compute_bearable()
        if counted + 1 <= bearable:
            return
        self.fell_over += 1
        self._stalled_until_ms = now_ms + self.settings.stall_ms
        raise FellOverError(
            f'the engine bore {bearable} completions and fell over'
        )

    def _compute_bearable(self) -> int:
        cfg = self.settings
        growth = (cfg.warm_limit - cfg.cold_limit) * self.warmth
        return cfg.cold_limit + int(growth)

    def _compute_step_ms(self, run: Run) -> float:
        """Return the time of a run's next token.

        Completions of a lower priority do not slow those of a higher one.
        """
        cfg = self.settings
        others = sum(
            other.call.priority <= run.call.priority for other in self._batch
        )
        step_ms = cfg.token_ms + cfg.token_batch_ms * (others - 1)
        if run.made_tokens == 0:
            fresh = run.prompt_tokens - run.cached_tokens
            step_ms += cfg.prefill_token_ms * fresh
        return step_ms * (
            cfg.cold_factor + (1 - cfg.cold_factor) * self.warmth
        )

    def _note_load(self) -> None:
        tokens = self._cache.size_tokens
        self._loads.append((self._clock.now(), len(self._batch), tokens))


def count_prompt_tokens(call: base.ChatCall) -> int:
    """Return the prompt's tokens; the stand-in takes words for tokens."""
    return sum(len(item.content.split()) for item in call.messages)
