"""Keeps the configuration of a process at the newest number it can reach."""

import typing

from loguru import logger
import trio

from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import types

POLL_INTERVAL_MS = 1_000.0


class ConfigNode:
    """The configuration in force in one process.

    :param reader: reads numbers from the platform's store.
    :param monitor: checks that the number never goes back.
    """

    def __init__(
        self, reader: config_store.ConfigReader, monitor: invariants.Monitor
    ) -> None:
        self.current = configuration.Configuration()
        self._reader = reader
        self._monitor = monitor
        self._listeners: list[typing.Callable[[], None]] = []
        self._wake = trio.Event()
        self.loaded = trio.Event()

    def read(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self.current

    def read_number(self) -> types.ConfigNumber:
        """Return its number."""
        return self.current.number

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def hear(self, number: types.ConfigNumber) -> None:
        """Take note of a number that a peer has in force."""
        if number > self.current.number:
            self._wake.set()

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            try:
                await self._refresh()
            except errors.FoxtailError as exc:
                logger.warning('CONFIG not refreshed. {}', exc)
            with trio.move_on_after(POLL_INTERVAL_MS / types.SECOND_MS):
                await self._wake.wait()
            self._wake = trio.Event()

    async def _refresh(self) -> None:
        found = await self._reader.read_head()
        if found is None or found[0].number <= self.current.number:
            return
        held = self.current if self.current.number else None
        cfg = await self._reader.load_index(found[0], held)
        self.install(await self._reader.load_chunks(cfg))

    def install(self, cfg: configuration.Configuration) -> None:
        """Put a newer configuration in force.

        :param cfg: the configuration; an older one is ignored.
        """
        if cfg.number <= self.current.number:
            return
        before = self.current.number
        self.current = cfg
        self._monitor.check(
            invariants.Promise.CONFIG_UPWARDS,
            self.current.number > before,
            lambda: f'number went from {before} to {cfg.number}',
        )
        logger.info('CONFIG number {} in force after {}.', cfg.number, before)
        self.loaded.set()
        for listener in self._listeners:
            listener()
