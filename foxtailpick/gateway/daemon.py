"""The gateway process: start-up, servers, reload and graceful shutdown."""

import contextlib
import dataclasses
import functools
import random
import signal
import types as types_lib
import typing

import trio

from foxtailpick.core import clock as clock_lib
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import stopping
from foxtailpick.core.dispatch import store_pacing
from foxtailpick.core import errors
from foxtailpick.core import retry
from foxtailpick.core import types
from foxtailpick.gateway import admission
from foxtailpick.gateway import context
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import departure_keeper
from foxtailpick.gateway import http1
from foxtailpick.gateway import mirror as mirror_lib
from foxtailpick.gateway import peers
from foxtailpick.gateway import pool as pool_lib
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import rollout_exchange
from foxtailpick.gateway import rollout_log
from foxtailpick.gateway import rollouts
from foxtailpick.gateway import server
from foxtailpick.gateway import settings as settings_lib
from foxtailpick.gateway import state as state_lib
from foxtailpick.gateway import store_layout
from foxtailpick.gateway import stream_keeper
from foxtailpick.gateway import watchdog
from foxtailpick.node import metrics as metrics_lib

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Interval of the sweep for idle connections and expired entries.
SWEEP_INTERVAL_MS = 250.0
# The load balancer removes a gateway after two failed readiness checks 1 s
# apart; from then on idle connections are closed.
BALANCER_REMOVAL_MS = 2_300.0
# The settings file may change without a SIGHUP, and is cheap to read.
SETTINGS_POLL_INTERVAL_MS = 2_000.0
# Part of the grace period that is reserved for process exit.
EXIT_MARGIN_MS = 400.0
# Part of this margin in which requests without a response are answered.
FINAL_ANSWERS_MS = 200.0
FINAL_CHECK_INTERVAL_MS = 10.0
# Fraction of the fleet's retry budget that is used, since the number of
# routers is known with a delay.
BUDGET_SHARE = 0.85
# Settings that are in use from the start of the process to its end: the
# sockets are bound, and the registration is written.
_FIXED_SETTINGS = (
    'name',
    'domain',
    'listen',
    'readiness',
    'metrics',
    'peers',
    'store',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """The listening sockets of a gateway."""

    callers: trio.socket.SocketType
    readiness: trio.socket.SocketType
    metrics: trio.socket.SocketType
    peers: trio.socket.SocketType

    @classmethod
    def from_settings(cls, cfg: settings_lib.GatewaySettings) -> 'Listeners':
        """Open the sockets at the addresses of the settings."""
        return cls(
            *(
                http1.listen(address, server.BACKLOG)
                for address in (cfg.listen, cfg.readiness, cfg.metrics)
            ),
            peers.open_socket(cfg.peers),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """The store entry that announces a router to the others.

    :param key: its key.
    :param value: its encoded value.
    """

    key: str
    value: bytes


def make_gateway(
    cfg: settings_lib.GatewaySettings,
    dialect: context.Dialect,
    log: decision_log.DecisionLog,
    now_ms: typing.Callable[[], float],
    rng: random.Random,
) -> context.Gateway:
    """Create a gateway with its components.

    :param cfg: its settings.
    :param dialect: codec of the platform's headers.
    :param log: its log.
    :param now_ms: function that returns the current time.
    :param rng: source of random numbers.
    """
    return context.Gateway(
        cfg=cfg,
        now_ms=now_ms,
        state=state_lib.GatewayState(cfg.name, now_ms, log),
        pool=pool_lib.Pool(now_ms),
        budget=retry.RetryBudget(make_retry_options(cfg, 1)),
        dialect=dialect,
        log=log,
        metrics=metrics_lib.Metrics(),
        rng=rng,
    )


def make_retry_options(
    cfg: settings_lib.GatewaySettings, routers: int
) -> retry.RetryOptions:
    """Return this router's share of the fleet's retry budget.

    :param cfg: the settings, which hold the budget of the whole fleet.
    :param routers: number of routers that share it.
    """
    extra = cfg.retry_extra * BUDGET_SHARE / routers
    return retry.RetryOptions(
        budget_ratio=cfg.retry_ratio * BUDGET_SHARE,
        budget_burst=max(1.0, extra),
    )


async def run_gateway(
    cfg: settings_lib.GatewaySettings,
    open_store: typing.Callable[
        [model.Address], typing.ContextManager[mirror_lib.Store]
    ],
    layout: store_layout.StoreLayout,
    dialect: context.Dialect,
    registration: Registration,
    check_settings: typing.Callable[[], settings_lib.GatewaySettings],
) -> None:
    """Serve until SIGTERM or SIGINT, then drain requests in flight.

    :param cfg: the settings.
    :param open_store: opens the client of the platform's store.
    :param layout: where the store keeps what a router reads.
    :param dialect: codec of the platform's headers.
    :param registration: this router's entry in the store.
    :param check_settings: reads and checks the settings again.
    """
    now_ms = clock_lib.Clock.from_trio().now
    log = decision_log.open_stdout_log(clock_lib.Clock.from_wall().now)
    gw = make_gateway(cfg, dialect, log, now_ms, random.Random())
    with (
        trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals,
        open_store(cfg.store) as store,
    ):
        await serve_gateway(
            gw,
            Listeners.from_settings(cfg),
            store,
            layout,
            registration,
            functools.partial(_wait_for_stop, gw, signals, check_settings),
        )
    log.flush()


async def serve_gateway(
    gw: context.Gateway,
    listeners: Listeners,
    store: mirror_lib.Store,
    layout: store_layout.StoreLayout,
    registration: Registration,
    wait_for_stop: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Serve until told to stop, then drain requests in flight.

    :param gw: the gateway.
    :param listeners: its open sockets.
    :param store: client of the platform's store.
    :param layout: where the store keeps what a router reads.
    :param registration: this router's entry in the store.
    :param wait_for_stop: returns when the gateway has to stop.
    """
    gw.started_ms = gw.now_ms()
    gw.log.emit(
        'started',
        router=gw.cfg.name,
        domain=gw.cfg.domain,
        listen=gw.cfg.listen,
        readiness=gw.cfg.readiness,
        metrics=gw.cfg.metrics,
        peers=gw.cfg.peers,
        store=gw.cfg.store,
    )
    mirror = mirror_lib.Mirror(
        store,
        gw.state,
        layout,
        gw.now_ms,
        gw.log,
        gw.rng,
        gw.cfg.min_lease_ms,
        store_pacing.compute_change_gap_ms(gw.cfg.change_bound_ms),
        gw.cfg.history_ms,
        gw.cfg.change_bound_ms,
    )
    callers = server.CallerServer(gw)
    with gw.pool, peers.PeerExchange(gw, listeners.peers) as exchange:
        keeper = rollouts.RolloutKeeper(
            gw,
            mirror,
            store,
            layout,
            lambda: exchange.is_hub,
            clock_lib.Clock.from_wall().now,
        )
        departures = departure_keeper.DepartureKeeper(
            gw, mirror, store, layout, gw.cfg.min_lease_ms
        )
        streams = stream_keeper.StreamKeeper(
            gw, mirror, store, layout, lambda: exchange.is_hub
        )
        gw.look_up_stream = streams.look_up
        exchange.rollouts = rollout_exchange.RolloutExchange(gw, keeper)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gw.log.run)
            nursery.start_soon(
                mirror.run, registration.key, registration.value
            )
            nursery.start_soon(exchange.run)
            nursery.start_soon(keeper.run)
            nursery.start_soon(departures.run)
            nursery.start_soon(streams.run)
            nursery.start_soon(_sweep, gw)
            nursery.start_soon(watchdog.watch_attempts, gw)
            nursery.start_soon(admission.assign_free_slots, gw)
            _start_servers(gw, callers, listeners, nursery)
            await wait_for_stop()
            await _drain(gw, callers)
            nursery.cancel_scope.cancel()
    gw.log.emit('stopped', router=gw.cfg.name)


def _start_servers(
    gw: context.Gateway,
    callers: server.CallerServer,
    listeners: Listeners,
    nursery: trio.Nursery,
) -> None:
    for sock, owner, handle in (
        (listeners.callers, callers, server.make_handler(gw)),
        (
            listeners.readiness,
            server.CallerServer(gw, server.SideLimits()),
            _make_readiness(gw),
        ),
        (
            listeners.metrics,
            server.CallerServer(gw, server.SideLimits()),
            _make_metrics(gw, callers),
        ),
    ):
        nursery.start_soon(owner.serve, sock, handle, nursery)


def _make_readiness(gw: context.Gateway) -> server.Handler:
    async def handle(req: http1.Request, reply: reply_lib.Reply) -> None:
        is_ready = gw.state.cfg is not None and not gw.is_stopping
        text = b'ready' if is_ready else b'not ready'
        await reply.send_response(200 if is_ready else 503, (), text)

    return handle


def _make_metrics(
    gw: context.Gateway, callers: server.CallerServer
) -> server.Handler:
    async def handle(req: http1.Request, reply: reply_lib.Reply) -> None:
        lines = [
            *gw.metrics.format_lines(),
            *rollout_log.format_metrics(gw),
            f'foxtailpick_attempts_running {len(gw.attempts)}',
            f'foxtailpick_caller_connections {callers.connections}',
            f'foxtailpick_endpoint_connections_total {gw.pool.opened}',
            f'foxtailpick_log_lines_dropped_total {gw.log.dropped}',
            f'foxtailpick_routers {gw.state.router_count}',
            f'foxtailpick_endpoints_slow {_count_slow(gw)}',
            'foxtailpick_config_version '
            f'{gw.state.cfg.number if gw.state.cfg else 0}',
        ]
        body = '\n'.join(lines).encode() + b'\n'
        await reply.send_response(
            200, [(b'Content-Type', b'text/plain')], body
        )

    return handle


def _count_slow(gw: context.Gateway) -> int:
    now_ms = gw.now_ms()
    return sum(item.pace.is_slow(now_ms) for item in gw.state.table.list_all())


async def _wait_for_stop(
    gw: context.Gateway,
    signals: typing.AsyncIterator[int],
    check_settings: typing.Callable[[], settings_lib.GatewaySettings],
) -> None:
    hang_up, changed = trio.open_memory_channel[None](1)
    with _date_stop_signal(gw):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_follow_settings, gw, check_settings, changed)
            async for number in signals:
                if number != signal.SIGHUP:
                    gw.log.emit(
                        'stopping',
                        signal=number,
                        ms_held_up=round(gw.now_ms() - _find_signal_ms(gw)),
                    )
                    break
                with contextlib.suppress(trio.WouldBlock):
                    hang_up.send_nowait(None)
            nursery.cancel_scope.cancel()


@contextlib.contextmanager
def _date_stop_signal(gw: context.Gateway) -> typing.Iterator[None]:
    """Note when the first signal to stop came, until the context exits.

    The event loop hands signals on in its next turns, which may be long.
    """
    handlers = {
        number: handler
        for number in _STOP_SIGNALS
        if callable(handler := signal.getsignal(number))
    }

    def handle(number: int, frame: types_lib.FrameType | None) -> None:
        if gw.stop_signal_ms is None:
            gw.stop_signal_ms = gw.loop_checks.find_earliest_ms(
                gw.now_ms(), turns=1
            )
        handlers[number](number, frame)

    for number in handlers:
        signal.signal(number, handle)
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


def _find_signal_ms(gw: context.Gateway) -> float:
    """Return when the signal to stop came at the earliest."""
    if gw.stop_signal_ms is not None:
        return gw.stop_signal_ms
    return gw.loop_checks.find_earliest_ms(gw.now_ms())


async def _follow_settings(
    gw: context.Gateway,
    check_settings: typing.Callable[[], settings_lib.GatewaySettings],
    changed: trio.MemoryReceiveChannel[None],
) -> None:
    """Reload the settings periodically and when they are said to change."""
    while True:
        with trio.move_on_after(SETTINGS_POLL_INTERVAL_MS / types.SECOND_MS):
            await changed.receive()
        await _reload_settings(gw, check_settings)


async def _reload_settings(
    gw: context.Gateway,
    check_settings: typing.Callable[[], settings_lib.GatewaySettings],
) -> None:
    """Apply changed settings; keep the current ones if they are invalid."""
    try:
        # The disk may take long to answer.
        cfg = await trio.to_thread.run_sync(
            check_settings, abandon_on_cancel=True
        )
    except errors.SettingsError as exc:
        gw.log.emit('reload-failed', error=exc.message)
        return
    fixed = {name: getattr(gw.cfg, name) for name in _FIXED_SETTINGS}
    if any(getattr(cfg, name) != value for name, value in fixed.items()):
        cfg = dataclasses.replace(cfg, **fixed)
    if cfg == gw.cfg:
        return
    gw.cfg = cfg
    gw.budget.set_options(make_retry_options(cfg, gw.state.router_count))
    gw.log.emit('reloaded', settings=dataclasses.asdict(cfg))


async def _drain(gw: context.Gateway, callers: server.CallerServer) -> None:
    began_ms = gw.now_ms()
    # The platform counts from the signal, which may have waited.
    signal_ms = _find_signal_ms(gw)
    gw.shutdown_started_ms = signal_ms
    gw.shutdown_complete_ms = signal_ms + gw.cfg.grace_ms - EXIT_MARGIN_MS
    gw.shutdown_deadline_ms = stopping.compute_cut_ms(
        signal_ms, began_ms, gw.cfg.grace_ms, EXIT_MARGIN_MS
    )
    while (left_ms := gw.shutdown_deadline_ms - gw.now_ms()) > 0:
        await trio.sleep(min(SWEEP_INTERVAL_MS, left_ms) / types.SECOND_MS)
        if gw.now_ms() - began_ms < BALANCER_REMOVAL_MS:
            continue
        callers.close_idle(0.0)
        if callers.is_idle():
            break
    callers.stop_accepting()
    # Requests may have arrived on connections that were about to close.
    await _close_callers(gw, callers, gw.shutdown_deadline_ms)
    gw.log.emit(
        'drained',
        under_way=len(gw.attempts),
        ms_stopping=round(gw.now_ms() - signal_ms),
    )
    gw.is_ending = True
    for scope in list(gw.request_scopes):
        scope.cancel()
    await _close_callers(gw, callers, gw.now_ms() + FINAL_ANSWERS_MS)
    # The process may be killed before it ends by itself.
    gw.log.flush()


async def _close_callers(
    gw: context.Gateway, callers: server.CallerServer, until_ms: float
) -> None:
    """Close connections as they become idle, until all are closed."""
    while callers.connections and gw.now_ms() < until_ms:
        callers.close_idle(0.0)
        await trio.sleep(FINAL_CHECK_INTERVAL_MS / types.SECOND_MS)


async def _sweep(gw: context.Gateway) -> None:
    routers = 0
    while True:
        await trio.sleep(SWEEP_INTERVAL_MS / types.SECOND_MS)
        gw.state.expire()
        gw.pool.sweep(gw.state.table)
        quarantine.expire(gw)
        if gw.state.router_count != routers:
            routers = gw.state.router_count
            gw.budget.set_options(make_retry_options(gw.cfg, routers))
