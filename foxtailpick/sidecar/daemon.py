"""Assembles and runs the sidecar process."""

import contextlib
import dataclasses
import functools
import random
import typing

from loguru import logger
import trio
from websockets.trio import server as ws_server

from foxtailpick.adapters import base
from foxtailpick.adapters import engine as engine_adapter
from foxtailpick.adapters import etcd
from foxtailpick.adapters import prefixed
from foxtailpick.adapters import service as service_adapter
from foxtailpick.adapters import wire
from foxtailpick.core import config_store
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.node import client_connections
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import http_server
from foxtailpick.node import links as links_lib
from foxtailpick.node import member_feed
from foxtailpick.node import request_bodies
from foxtailpick.router import jobs
from foxtailpick.sidecar import connections
from foxtailpick.sidecar import gate as gate_lib
from foxtailpick.sidecar import gossip
from foxtailpick.sidecar import once
from foxtailpick.sidecar import operators
from foxtailpick.sidecar import order_desk
from foxtailpick.sidecar import worker as worker_lib

ADMIN_GRACE_MS = 1_000.0
MAX_PEER_LINKS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Sidecar:
    """A running sidecar.

    :param address: `host:port` that routers connect to.
    :param admin_url: base URL for operators.
    :param incarnation: incarnation of this process.
    :param worker: runs the attempts.
    :param config: holds the configuration in force.
    """

    address: str
    admin_url: str
    incarnation: types.Incarnation
    worker: worker_lib.Worker
    config: config_node_lib.ConfigNode


@contextlib.asynccontextmanager
async def open_sidecar(
    cfg: settings.SidecarSettings, monitor: invariants.Monitor
) -> typing.AsyncIterator[Sidecar]:
    """Run a sidecar until the context exits.

    :param cfg: settings of the sidecar.
    :param monitor: checks the invariants.
    """
    incarnation = types.Incarnation(jobs.make_id())
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            etcd.EtcdKeyValue.from_settings(cfg.store)
        )
        keys = config_store.Keys(cfg.store.prefix)
        node = config_node_lib.ConfigNode(
            cfg.node.id, store, keys, monitor, random.Random()
        )
        links = await stack.enter_async_context(
            _make_links(cfg, node, incarnation)
        )
        node.set_links(links)
        gate = gate_lib.Gate.from_settings(cfg, incarnation, monitor, node)
        node.add_change_listener(gate.apply_config)
        worker = await _open_worker(stack, cfg, gate, store, monitor)
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        node.add_update_listener(worker.wake)
        nursery.start_soon(node.run)
        nursery.start_soon(worker.run)
        desk = None
        if cfg.endpoint.kind is types.EndpointKind.MODEL:
            desk = order_desk.OrderDesk.from_settings(
                cfg, incarnation, store, worker.engine, monitor
            )
            nursery.start_soon(desk.run)
        nursery.start_soon(
            member_feed.poll_members,
            cfg.membership,
            cfg.node.id,
            functools.partial(_update_members, cfg, gate, node),
        )
        clients = client_connections.ConnectionLimit.from_settings(cfg.limits)
        address = await _serve_routers(
            nursery, cfg, worker, node, incarnation, clients
        )
        port = int(address.rsplit(':', 1)[1])
        gossiper = gossip.Gossip(
            gate.pool,
            cfg.listen.host,
            port,
            random.Random(),
            gate.counts_in_mean,
        )
        nursery.start_soon(gossiper.run)
        admin_url = await stack.enter_async_context(
            http_server.serve_app(
                request_bodies.limit_bodies(
                    operators.make_operator_app(worker, node, monitor, desk),
                    request_bodies.BodyBudget(cfg.limits.bodies),
                ),
                cfg.listen.host,
                cfg.listen.admin_port,
                ADMIN_GRACE_MS,
                clients,
            )
        )
        logger.info(
            'SIDECAR {} listens on {}, for operators on {}.',
            cfg.node.id,
            address,
            admin_url,
        )
        yield Sidecar(address, admin_url, incarnation, worker, node)
        logger.info('SIDECAR {} stops.', cfg.node.id)
        await worker.shut_down(cfg.limits.shutdown)


async def _open_worker(
    stack: contextlib.AsyncExitStack,
    cfg: settings.SidecarSettings,
    gate: gate_lib.Gate,
    store: base.KeyValue,
    monitor: invariants.Monitor,
) -> worker_lib.Worker:
    if cfg.endpoint.kind is types.EndpointKind.MODEL:
        engine = engine_adapter.HttpEngine.from_url(cfg.endpoint.url)
        await stack.enter_async_context(engine)
        return worker_lib.Worker(gate, cfg.limits, engine, None)
    service = service_adapter.HttpService.from_url(cfg.endpoint.url)
    await stack.enter_async_context(service)
    endpoint = types.EndpointId(cfg.node.id)
    runner = once.AtMostOnceRunner(
        gate,
        prefixed.PrefixedKeyValue(store, cfg.store.prefix),
        endpoint,
        monitor,
        cfg.limits.claim_interval,
    )
    return worker_lib.Worker(gate, cfg.limits, None, service, runner)


class _PeerConnection(ws_server.ServerConnection):
    """A connection that accounts for the messages that are read."""

    async def recv(self, decode: bool | None = None) -> str | bytes:
        data = await super().recv(decode)
        self.stream.release(len(data) + wire.MAX_HEAD_BYTES)
        return data


async def _serve_routers(
    nursery: trio.Nursery,
    cfg: settings.SidecarSettings,
    worker: worker_lib.Worker,
    node: config_node_lib.ConfigNode,
    incarnation: types.Incarnation,
    clients: client_connections.ConnectionLimit,
) -> str:
    hello = messages.Hello(messages.PROTOCOL_VERSION, cfg.node.id, incarnation)

    meter = wire.TrafficMeter()

    def on_frame(conn: connections.Connection, frame: messages.Frame) -> None:
        # A router has no address; it is reached over its connection.
        peer = node.find_address(conn.peer.node) or conn.name
        node.observe_number(frame.number, peer)
        node.on_message(frame.message, peer, conn.send_soon)

    async def handle(conn: typing.Any) -> None:
        connection = connections.Connection(
            conn,
            worker,
            hello,
            node,
            on_frame,
            meter,
            conn.stream.open_request,
        )
        await connection.serve()

    budget = client_connections.ReceiveBudget(cfg.limits.bodies)
    listeners = [
        client_connections.ClientListener(listener, clients, budget)
        for listener in await trio.open_tcp_listeners(
            cfg.listen.port, host=cfg.listen.host
        )
    ]
    serve = functools.partial(
        ws_server.serve,
        handle,
        listeners=listeners,
        create_connection=_PeerConnection,
        **wire.CONNECTION_OPTIONS,
    )
    server = await nursery.start(serve)
    port = server.listeners[0].socket.getsockname()[1]
    return f'{cfg.listen.host}:{port}'


def _make_links(
    cfg: settings.SidecarSettings,
    node: config_node_lib.ConfigNode,
    incarnation: types.Incarnation,
) -> links_lib.LinkPool:
    hello = messages.Hello(messages.PROTOCOL_VERSION, cfg.node.id, incarnation)

    def on_frame(link: links_lib.Link, frame: messages.Frame) -> None:
        node.observe_number(frame.number, link.address)
        node.on_message(frame.message, link.address, link.send_soon)

    return links_lib.LinkPool(
        hello, MAX_PEER_LINKS, node.read_number, on_frame
    )


def _update_members(
    cfg: settings.SidecarSettings,
    gate: gate_lib.Gate,
    node: config_node_lib.ConfigNode,
    members: list[base.Member],
) -> None:
    node.update_members(members, cfg.node.failure_domain)
    current = node.current
    gate.pool.update_members(
        [
            member
            for member in members
            if current.is_domain_in_service(member.domain)
        ]
    )
