"""The configuration in force at one node, and what it offers its peers."""

import dataclasses

from loguru import logger

from foxtailpick.core import account_table
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import types


class NodeConfig:
    """A configuration that only ever moves up.

    :param node: id of the node, for its log lines.
    :param monitor: checks that the number never goes down.
    """

    def __init__(self, node: str, monitor: invariants.Monitor) -> None:
        self.cfg = configuration.Configuration(
            accounts=account_table.AccountTable()
        )
        self.installed_ms = float('-inf')
        self.is_index_wanted = False
        self._node = node
        self._monitor = monitor
        self._log = config_exchange.DeltaLog()

    @property
    def number(self) -> types.ConfigNumber:
        """Number in force."""
        return self.cfg.number

    @property
    def wanted_after(self) -> types.ConfigNumber:
        """Number to ask sources with, zero to get a whole index."""
        return types.ConfigNumber(0 if self.is_index_wanted else self.number)

    def take(self, offer: config_exchange.Offer, now_ms: float) -> bool:
        """Move up as far as an offer leads; tell whether it led anywhere.

        :param offer: the offer; one that leads nowhere new is passed over.
        :param now_ms: the current time.
        """
        held = self.number
        try:
            self._move_up(offer, now_ms)
        except errors.ConfigError as exc:
            logger.info('CONFIG offer of {} not used. {}', offer.number, exc)
            if exc.code is errors.ErrorCode.CONFIG_CORRUPT:
                self.is_index_wanted = True
        return self.number > held

    def put_accepted(
        self,
        cfg: configuration.Configuration,
        delta: config_delta.Delta,
        now_ms: float,
    ) -> bool:
        """Put in force what this node itself got accepted.

        :param cfg: the configuration made.
        :param delta: what it changed.
        :param now_ms: the current time.
        :returns: False if it is no longer new here.
        """
        if cfg.number <= self.number:
            return False
        self._install(self._keep_chunks(cfg), now_ms)
        self._log.append(cfg.number, delta.encode())
        return True

    def put_chunk(self, index: int, raw: bytes) -> bool:
        """Add a chunk of accounts; tell whether it fits what is in force."""
        try:
            table = self.cfg.accounts.with_chunk(index, raw)
        except errors.ConfigError as exc:
            logger.info('CONFIG chunk {} not used. {}', index, exc)
            return False
        self.cfg = dataclasses.replace(self.cfg, accounts=table)
        return True

    def make_offer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the answer to a peer that asks what follows its number."""
        return self._log.make_offer(self.cfg, after)

    def _move_up(self, offer: config_exchange.Offer, now_ms: float) -> None:
        if offer.index is not None and offer.number > self.number:
            cfg = config_delta.decode_index(offer.index, offer.number)
            self._log.clear()
            self._install(self._keep_chunks(cfg), now_ms)
            return
        for cfg, raw in config_exchange.advance(self.cfg, offer.deltas):
            self._install(cfg, now_ms)
            self._log.append(cfg.number, raw)

    def _keep_chunks(
        self, cfg: configuration.Configuration
    ) -> configuration.Configuration:
        table = cfg.accounts.reuse_chunks(self.cfg.accounts)
        return dataclasses.replace(cfg, accounts=table)

    def _install(
        self, cfg: configuration.Configuration, now_ms: float
    ) -> None:
        held = self.number
        self._monitor.check(
            invariants.Invariant.CONFIG_UPWARDS,
            cfg.number > held,
            lambda: f'{self._node} went from {held} to {cfg.number}',
        )
        if cfg.number <= held:
            return
        self.cfg = cfg
        self.installed_ms = now_ms
        self.is_index_wanted = False
        logger.info('CONFIG number {} in force, was {}.', cfg.number, held)
