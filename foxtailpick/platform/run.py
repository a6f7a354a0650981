"""Runs a gateway on the operators' platform."""

import functools

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.gateway import context
from foxtailpick.gateway import daemon
from foxtailpick.gateway import settings
from foxtailpick.platform import boot
from foxtailpick.platform import dialect
from foxtailpick.platform import items
from foxtailpick.platform import store

DIALECT = context.Dialect(
    decode_request=dialect.decode_request,
    encode_request=dialect.encode_request,
    decode_response=dialect.decode_response,
)


def make_registration(
    cfg: settings.GatewaySettings,
) -> daemon.Registration:
    """Return the registration of a router in the store.

    :param cfg: settings of the router.
    """
    entry = model.RouterEntry(cfg.peers, cfg.processor_share)
    return daemon.Registration(
        items.make_router_key(cfg.name), items.encode_router(entry)
    )


def main() -> int:
    """Serve until the process is told to stop; return the exit status."""
    path = boot.find_boot_file()
    cfg = boot.read_settings(path)
    trio.run(
        functools.partial(
            daemon.run_gateway,
            cfg,
            store.PlatformStore,
            items.LAYOUT,
            DIALECT,
            make_registration(cfg),
            functools.partial(boot.read_settings, path),
        )
    )
    return 0
