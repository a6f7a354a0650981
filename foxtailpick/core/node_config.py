"""The configuration in force on one node, and its offers to peers."""

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
    """A configuration whose number never decreases.

    :param node: id of the node, for reports of a violation.
    :param monitor: checks that the number never decreases.
    """

    def __init__(self, node: str, monitor: invariants.Monitor) -> None:
        self.cfg = configuration.Configuration(
            accounts=account_table.AccountTable()
        )
        self.installed_ms = float('-inf')
        self.is_index_wanted = False
        self._node = node
        self._monitor = monitor
        self._delta_log = config_exchange.DeltaLog()

    @property
    def number(self) -> types.ConfigNumber:
        """The number in force."""
        return self.cfg.number

    @property
    def fetch_after(self) -> types.ConfigNumber:
        """Number to send in requests, zero to request the whole index."""
        return types.ConfigNumber(0 if self.is_index_wanted else self.number)

    def apply_offer(self, offer: config_exchange.Offer, now_ms: float) -> bool:
        """Apply an offer as far as possible; tell whether the number rose.

        :param offer: the offer; it is ignored if it holds nothing newer.
        :param now_ms: the current time.
        """
        previous = self.number
        try:
            self._advance(offer, now_ms)
        except errors.ConfigError as exc:
            logger.info('CONFIG offer of {} rejected. {}', offer.number, exc)
            if exc.code is errors.ErrorCode.CONFIG_CORRUPT:
                self.is_index_wanted = True
        return self.number > previous

    def apply_accepted(
        self,
        cfg: configuration.Configuration,
        delta: config_delta.Delta,
        now_ms: float,
    ) -> bool:
        """Put in force the result of a patch that this node committed.

        :param cfg: the resulting configuration.
        :param delta: what the patch changed.
        :param now_ms: the current time.
        :returns: False if the number in force is already as high.
        """
        if cfg.number <= self.number:
            return False
        self._install(self._reuse_chunks(cfg), now_ms)
        self._delta_log.append(cfg.number, delta.encode())
        return True

    def add_chunk(self, index: int, raw: bytes) -> bool:
        """Add a chunk of accounts; tell whether it matches its hash."""
        try:
            table = self.cfg.accounts.with_chunk(index, raw)
        except errors.ConfigError as exc:
            logger.info('CONFIG chunk {} rejected. {}', index, exc)
            return False
        self.cfg = dataclasses.replace(self.cfg, accounts=table)
        return True

    def make_offer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the offer that brings a peer up to date.

        :param after: the number in force at the peer.
        """
        return self._delta_log.make_offer(self.cfg, after)

    def _advance(self, offer: config_exchange.Offer, now_ms: float) -> None:
        if offer.index is not None and offer.number > self.number:
            cfg = config_delta.decode_index(offer.index, offer.number)
            self._delta_log.clear()
            self._install(self._reuse_chunks(cfg), now_ms)
            return
        for cfg, raw in config_exchange.apply_deltas(self.cfg, offer.deltas):
            self._install(cfg, now_ms)
            self._delta_log.append(cfg.number, raw)

    def _reuse_chunks(
        self, cfg: configuration.Configuration
    ) -> configuration.Configuration:
        table = cfg.accounts.reuse_chunks(self.cfg.accounts)
        return dataclasses.replace(cfg, accounts=table)

    def _install(
        self, cfg: configuration.Configuration, now_ms: float
    ) -> None:
        previous = self.number
        self._monitor.check(
            invariants.Invariant.CONFIG_UPWARDS,
            cfg.number > previous,
            lambda: f'{self._node} went from {previous} to {cfg.number}',
        )
        if cfg.number <= previous:
            return
        self.cfg = cfg
        self.installed_ms = now_ms
        self.is_index_wanted = False
        logger.info('CONFIG number {} in force, was {}.', cfg.number, previous)
