"""The router process: creates and connects its components."""

import contextlib
import dataclasses
import functools
import random
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.adapters import etcd
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.node import client_connections
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import http_server
from foxtailpick.node import links as links_lib
from foxtailpick.node import member_feed
from foxtailpick.node import request_bodies
from foxtailpick.router import app as app_lib
from foxtailpick.router import context as context_lib
from foxtailpick.router import fleet_view
from foxtailpick.router import jobs
from foxtailpick.router import operators

# Short, because requests have finished by then and only idle connections
# of callers remain.
CONNECTION_GRACE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """A running router.

    :param url: base URL for callers.
    :param admin_url: base URL for operators.
    :param ctx: its state.
    :param config: its configuration node.
    """

    url: str
    admin_url: str
    ctx: context_lib.RouterContext
    config: config_node_lib.ConfigNode


@contextlib.asynccontextmanager
async def open_router(
    cfg: settings.RouterSettings, monitor: invariants.Monitor
) -> typing.AsyncIterator[Router]:
    """Run a router until the context exits.

    :param cfg: its settings.
    :param monitor: checks the invariants.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            etcd.EtcdKeyValue.from_settings(cfg.store)
        )
        keys = config_store.Keys(cfg.store.prefix)
        node = config_node_lib.ConfigNode(
            cfg.node.id, store, keys, monitor, random.Random()
        )
        fleet = fleet_view.FleetView(node, monitor, random.Random())
        links = await stack.enter_async_context(_make_links(cfg, node, fleet))
        node.set_links(links)
        node.add_change_listener(fleet.refresh)
        ctx = context_lib.RouterContext(
            cfg, node, fleet, links, monitor, random.Random()
        )
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        nursery.start_soon(node.run)
        nursery.start_soon(fleet.run_probes, links)
        nursery.start_soon(
            member_feed.poll_members,
            cfg.membership,
            cfg.node.id,
            functools.partial(_update_members, cfg, node, fleet),
            fleet.on_list_failed,
        )
        bodies = request_bodies.BodyBudget(cfg.limits.bodies)
        connections = client_connections.ConnectionLimit.from_settings(
            cfg.limits
        )
        url = await stack.enter_async_context(
            http_server.serve_app(
                request_bodies.limit_bodies(
                    app_lib.make_caller_app(ctx), bodies
                ),
                cfg.listen.host,
                cfg.listen.port,
                CONNECTION_GRACE_MS,
                connections,
            )
        )
        writer = config_writer.ConfigWriter(
            store, clock_lib.Clock.from_wall(), random.Random(), keys
        )
        admin_url = await stack.enter_async_context(
            http_server.serve_app(
                request_bodies.limit_bodies(
                    operators.make_operator_app(ctx, writer), bodies
                ),
                cfg.listen.host,
                cfg.listen.admin_port,
                CONNECTION_GRACE_MS,
                connections,
            )
        )
        logger.info(
            'ROUTER {} listens on {}, for operators on {}.',
            cfg.node.id,
            url,
            admin_url,
        )
        yield Router(url, admin_url, ctx, node)
        logger.info('ROUTER {} stops.', cfg.node.id)
        await ctx.shut_down(cfg.limits.shutdown)


def _make_links(
    cfg: settings.RouterSettings,
    node: config_node_lib.ConfigNode,
    fleet: fleet_view.FleetView,
) -> links_lib.LinkPool:
    hello = messages.Hello(
        messages.PROTOCOL_VERSION, cfg.node.id, jobs.make_id()
    )

    def on_frame(link: links_lib.Link, frame: messages.Frame) -> None:
        node.observe_number(frame.number, link.address)
        node.on_message(frame.message, link.address, link.send_soon)
        fleet.on_frame(link, frame)

    return links_lib.LinkPool(
        hello, cfg.limits.max_links, node.read_number, on_frame
    )


def _update_members(
    cfg: settings.RouterSettings,
    node: config_node_lib.ConfigNode,
    fleet: fleet_view.FleetView,
    members: list[base.Member],
) -> None:
    node.update_members(members, cfg.node.failure_domain)
    fleet.on_list(members)
