"""Runs a router or a sidecar as a process."""

import functools
import random
import signal
import typing

import trio

from foxtailpick.adapters import etcd
from foxtailpick.core import clock
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import invariants

STORE_TIMEOUT_MS = 5_000.0


def run_daemon(
    cfg: typing.Any,
    open_daemon: typing.Callable[
        [typing.Any, invariants.Monitor], typing.AsyncContextManager
    ],
) -> int:
    """Run a process until SIGTERM or SIGINT, then shut down gracefully.

    :param cfg: its settings.
    :param open_daemon: context manager that runs the process.
    :returns: exit status.
    """
    trio.run(functools.partial(_run_until_signal, cfg, open_daemon))
    return 0


def create_configuration(text: str, store_url: str, prefix: str) -> bool:
    """Write the first configuration of a deployment.

    :param text: the whole configuration in INI format.
    :param store_url: URL of the platform's key-value store.
    :param prefix: prefix of all keys.
    :returns: whether this configuration is in force.
    :raises errors.FoxtailError: if it is invalid or the store fails.
    """
    cfg = configuration.Configuration.from_ini(text)

    async def create() -> bool:
        async with etcd.EtcdKeyValue((store_url,), STORE_TIMEOUT_MS) as kv:
            writer = config_writer.ConfigWriter(
                kv,
                clock.Clock.from_wall(),
                random.Random(),
                config_store.Keys(prefix),
            )
            return await writer.create(cfg)

    return trio.run(create)


async def _run_until_signal(
    cfg: typing.Any,
    open_daemon: typing.Callable[
        [typing.Any, invariants.Monitor], typing.AsyncContextManager
    ],
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with open_daemon(cfg, invariants.Monitor()):
            await anext(signals)
