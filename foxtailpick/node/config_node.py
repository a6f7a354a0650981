"""The configuration of a process: its driver, its peers, its listeners."""

import random
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import account_table
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_answers
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import propagation
from foxtailpick.core import types
from foxtailpick.node import config_driver
from foxtailpick.node import link_peers
from foxtailpick.node import links as links_lib

ACCOUNT_WAIT_MS = 2_000.0


class ConfigNode:
    """The configuration in force in one process.

    :param node: id of the process, as in other nodes' lists.
    :param kv: the platform's store.
    :param keys: names of the store's keys.
    :param monitor: checks that the number never goes back.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        node: str,
        kv: base.KeyValue,
        keys: config_store.Keys,
        monitor: invariants.Monitor,
        rng: random.Random,
    ) -> None:
        self.tracker = propagation.ConfigTracker(node, rng, monitor)
        self.loaded = trio.Event()
        self._node = node
        self._kv = kv
        self._reader = config_store.ConfigReader(kv, keys)
        self._clock = clock_lib.Clock.from_trio()
        self._members: list[base.Member] = []
        self._domain = types.FailureDomainId('')
        self._peers: link_peers.LinkPeers | None = None
        self._driver: config_driver.ConfigDriver | None = None

    def use_links(self, links: links_lib.LinkPool) -> None:
        """Set the links over which peers are asked, before `run`."""
        self._peers = link_peers.LinkPeers(links)
        self._driver = config_driver.ConfigDriver(
            self.tracker, self._reader, self._kv, self._peers, self._clock
        )
        self._driver.on_change(self.loaded.set)

    @property
    def current(self) -> configuration.Configuration:
        """The configuration in force."""
        return self.tracker.cfg

    def read_number(self) -> types.ConfigNumber:
        """Return its number, which rides on every frame."""
        return self.tracker.number

    def is_ready(self) -> bool:
        """Tell whether the process may report itself ready."""
        return self.tracker.may_serve(self._clock.now())

    def check_admission(self) -> propagation.Admission:
        """Tell whether new work may be admitted now."""
        admission = self.tracker.check_admission(self._clock.now())
        if self._driver is not None:
            self._driver.nudge()
        return admission

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each new number."""
        self._driver.on_change(listener)

    def on_report(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each answer, new number or not."""
        self._driver.on_report(listener)

    def update_members(
        self, members: list[base.Member], domain: types.FailureDomainId
    ) -> None:
        """Take over a newer member list: its sidecars are the peers.

        :param members: the list.
        :param domain: the own failure domain.
        """
        self._members = members
        self._domain = domain
        self._refresh_peers()

    def find_address(self, node: str) -> str | None:
        """Return the address of a sidecar, None if it is not known.

        :param node: id of the node.
        """
        for member in self._members:
            if member.endpoint == node:
                return member.address
        return None

    def add_listener(self, name: str, send: link_peers.Send) -> None:
        """Register a router with an open connection, to be told."""
        self._peers.add_listener(name, send)
        self._refresh_peers()

    def drop_listener(self, name: str) -> None:
        """Remove a router whose connection is gone."""
        self._peers.drop_listener(name)
        self._refresh_peers()

    def hear(
        self, number: types.ConfigNumber, peer: str | None = None
    ) -> None:
        """Take note of the number on a frame.

        :param number: number in force at the sender.
        :param peer: address at which the sender can be asked.
        """
        self._driver.hear(number, peer)

    def on_accepted(self, answer: config_answers.PatchAnswer) -> None:
        """Put in force what this process itself got accepted.

        Sidecars of a failure domain that the patch concerns are told in
        any case.
        """
        changed = set()
        if answer.delta is not None:
            changed = {
                change.name
                for change in answer.delta.changes
                if change.kind == 'domain'
            }
        urgent = [
            member.address
            for member in self._members
            if member.domain in changed
        ]
        self._driver.take_answer(answer, urgent)

    def on_message(
        self,
        message: messages.Message,
        peer: str | None,
        reply: link_peers.Send,
    ) -> None:
        """Take a message about the configuration.

        :param message: any message; others are passed over.
        :param peer: address of the sender, None if it cannot be asked.
        :param reply: sends an answer to the sender.
        """
        if isinstance(message, messages.ConfigWanted):
            offer = self._driver.answer(message.after)
            reply(messages.ConfigOffer(offer.number, offer.encode()))
        elif isinstance(message, messages.ConfigOffer):
            self._on_offer(message, peer)
        elif isinstance(message, messages.ChunkWanted):
            reply(self._make_chunk_offer(message))
        elif isinstance(message, messages.ChunkOffer):
            self._on_chunk_offer(message, peer)

    def ask_for_account(
        self, account: types.AccountId, send: link_peers.Send
    ) -> None:
        """Ask a router that knows an account for its chunk.

        :param account: the account, which is not loaded here.
        :param send: sends a message to the router.
        """
        index = account_table.find_chunk(account)
        digest = self.current.accounts.hashes[index]
        send(messages.ChunkWanted(index, digest))

    async def require_account(self, account: types.AccountId) -> None:
        """Wait until an account can be looked up.

        :param account: the account.
        :raises errors.ConfigError: if it cannot be loaded in time.
        """
        with trio.move_on_after(ACCOUNT_WAIT_MS / types.SECOND_MS):
            await self._driver.load_account(account)
            return
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_UNAVAILABLE,
            f'expected to load account {account} within '
            f'{ACCOUNT_WAIT_MS:.0f} ms, nobody supplied it; try again',
            retry_after_ms=ACCOUNT_WAIT_MS,
        )

    async def run(self) -> None:
        """Follow the newest number, for ever."""
        await self._driver.run()

    def _refresh_peers(self) -> None:
        nearby = [
            member.endpoint
            for member in self._members
            if member.domain == self._domain
        ]
        addresses = [
            member.address
            for member in self._members
            if member.endpoint != self._node
        ]
        self._driver.set_peers(addresses, nearby, self._peers.listeners)

    def _on_offer(
        self, message: messages.ConfigOffer, peer: str | None
    ) -> None:
        try:
            offer = config_exchange.Offer.decode(message.payload)
        except errors.ConfigError as exc:
            logger.warning('CONFIG offer dropped. {}', exc)
            return
        if not self._peers.take_answer(peer, None, offer):
            self._driver.take(peer, offer)

    def _make_chunk_offer(
        self, message: messages.ChunkWanted
    ) -> messages.ChunkOffer:
        table = self.current.accounts
        is_known = 0 <= message.index < len(table.hashes)
        is_held = is_known and table.is_chunk_loaded(message.index)
        if is_held and table.hashes[message.index] == message.digest:
            raw = table.read_chunk(message.index)
            return messages.ChunkOffer(message.index, raw)
        return messages.ChunkOffer(message.index, b'')

    def _on_chunk_offer(
        self, message: messages.ChunkOffer, peer: str | None
    ) -> None:
        raw = message.payload
        if self._peers.take_answer(peer, message.index, raw) or not raw:
            return
        # The content hash tells whether it is the chunk in force.
        self.tracker.on_chunk(message.index, raw)
        self._driver.report()
