"""The router as a process: wires its parts together."""

import contextlib
import dataclasses
import random
import typing

from loguru import logger
import trio

from foxtailpick.adapters import etcd
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import load_view
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.node import config_node as config_node_lib
from foxtailpick.node import http_server
from foxtailpick.node import member_feed
from foxtailpick.router import app as app_lib
from foxtailpick.router import context as context_lib
from foxtailpick.router import jobs
from foxtailpick.router import links as links_lib
from foxtailpick.router import operators

# Work is finished before the servers are left; what remains are idle
# connections of callers.
LINGER_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Router:
    """A running router.

    :param url: base URL for callers.
    :param admin_url: base URL for operators.
    :param ctx: its state.
    :param config: its configuration.
    """

    url: str
    admin_url: str
    ctx: context_lib.RouterContext
    config: config_node_lib.ConfigNode


@contextlib.asynccontextmanager
async def open_router(
    cfg: settings.RouterSettings, monitor: invariants.Monitor
) -> typing.AsyncIterator[Router]:
    """Run a router until the context is left.

    :param cfg: its settings.
    :param monitor: checks the promises.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(
            etcd.EtcdKeyValue.from_settings(cfg.store)
        )
        keys = config_store.Keys(cfg.store.prefix)
        node = config_node_lib.ConfigNode(
            config_store.ConfigReader(store, keys), monitor
        )
        loads = load_view.LoadView()
        links = await stack.enter_async_context(_make_links(cfg, node, loads))
        ctx = context_lib.RouterContext(
            cfg, node.read, links, monitor, random.Random(), loads
        )
        node.on_change(ctx.refresh_table)
        nursery = await stack.enter_async_context(trio.open_nursery())
        stack.callback(nursery.cancel_scope.cancel)
        nursery.start_soon(node.run)
        nursery.start_soon(
            member_feed.follow_members,
            cfg.membership,
            cfg.node.id,
            ctx.update_members,
        )
        url = await stack.enter_async_context(
            http_server.serve_app(
                app_lib.make_caller_app(ctx),
                cfg.listen.host,
                cfg.listen.port,
                LINGER_MS,
            )
        )
        writer = config_writer.ConfigWriter(
            store, clock_lib.Clock.from_wall(), random.Random(), keys
        )
        admin_url = await stack.enter_async_context(
            http_server.serve_app(
                operators.make_operator_app(
                    ctx, writer, writer.reader, node.hear
                ),
                cfg.listen.host,
                cfg.listen.admin_port,
                LINGER_MS,
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
        await ctx.finish_work(cfg.limits.shutdown)


def _make_links(
    cfg: settings.RouterSettings,
    node: config_node_lib.ConfigNode,
    loads: load_view.LoadView,
) -> links_lib.LinkPool:
    hello = messages.Hello(
        messages.PROTOCOL_VERSION, cfg.node.id, jobs.make_id()
    )

    def hear(link: links_lib.Link, frame: messages.Frame) -> None:
        node.hear(frame.number)
        _note_load(loads, link, frame.message)

    return links_lib.LinkPool(
        hello, cfg.limits.max_links, node.read_number, hear
    )


def _note_load(
    loads: load_view.LoadView,
    link: links_lib.Link,
    message: messages.Message,
) -> None:
    is_refused = isinstance(message, messages.Failed)
    if not is_refused and not isinstance(message, messages.Accepted):
        return
    code = errors.ErrorCode.LOAD_BOUND_EXCEEDED
    if is_refused and message.code is not code:
        return
    admission = load_bound.Admission(
        is_admitted=not is_refused,
        load_tokens=message.load,
        limit_tokens=message.load,
        mean_tokens=message.mean_load,
    )
    endpoint = types.EndpointId(link.peer.node)
    loads.observe(endpoint, admission, clock_lib.Clock.from_trio().now())
