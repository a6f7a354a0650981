"""Keeps the configuration of a process at the newest number it can reach.

The tracker decides what to ask and to tell; this module carries it out
over the store and the links to peers.
"""

import random
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import account_table
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_actions
from foxtailpick.core import config_answers
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import messages
from foxtailpick.core import propagation
from foxtailpick.core import types
from foxtailpick.node import links as links_lib

ACCOUNT_WAIT_MS = 2_000.0
MAX_QUESTIONS = 64

Reply = typing.Callable[[messages.Message], None]


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
        self._node = node
        self.tracker = propagation.ConfigTracker(node, rng, monitor)
        self.reader = config_store.ConfigReader(kv, keys)
        self.loaded = trio.Event()
        self._kv = kv
        self._links: links_lib.LinkPool | None = None
        self._clock = clock_lib.Clock.from_trio()
        self._listeners: list[typing.Callable[[], None]] = []
        self._reports: list[typing.Callable[[], None]] = []
        self._members: list[base.Member] = []
        self._domain = types.FailureDomainId('')
        self._told: dict[str, Reply] = {}
        self._nonce = messages.UNSOLICITED
        self._asked: dict[int, tuple[str, float]] = {}
        self._chunk_asked: dict[str, config_actions.FetchChunk] = {}
        self._watch_scope = trio.CancelScope()
        self._wake = trio.Event()
        self._changed = trio.Event()
        self._seen_number = types.ConfigNumber(0)
        self._handlers = {
            config_actions.ReadHead: self._read_head,
            config_actions.FetchFromStore: self._fetch_from_store,
            config_actions.FetchFromPeer: self._fetch_from_peer,
            config_actions.FetchChunk: self._fetch_chunk,
            config_actions.OpenWatch: self._watch,
            config_actions.CloseWatch: self._close_watch,
            config_actions.Announce: self._announce,
        }

    @property
    def current(self) -> configuration.Configuration:
        """The configuration in force."""
        return self.tracker.cfg

    def read(self) -> configuration.Configuration:
        """Return the configuration in force."""
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
        if self.tracker.is_verifying or self._seen_number == 0:
            self._wake.set()
        return admission

    def use_links(self, links: links_lib.LinkPool) -> None:
        """Set the links over which peers are asked."""
        self._links = links

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def on_report(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each answer, changed or not."""
        self._reports.append(listener)

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

    def add_listener(self, name: str, reply: Reply) -> None:
        """Register a router with an open connection, to be told."""
        self._told[name] = reply
        self._refresh_peers()

    def drop_listener(self, name: str) -> None:
        """Remove a router whose connection is gone."""
        self._told.pop(name, None)
        self._refresh_peers()

    def hear(
        self, number: types.ConfigNumber, peer: str | None = None
    ) -> None:
        """Take note of the number on a frame.

        :param number: number in force at the sender.
        :param peer: address at which the sender can be asked.
        """
        if self.tracker.observe_number(number, peer, self._clock.now()):
            self._wake.set()

    def on_accepted(self, answer: config_answers.PatchAnswer) -> None:
        """Put in force what this process itself got accepted.

        Sidecars of a failure domain that the patch concerns are told in
        any case.
        """
        if answer.cfg is not None and answer.delta is not None:
            self.tracker.on_accepted(
                answer.cfg,
                answer.delta,
                self._clock.now(),
                self._list_concerned(answer.delta),
            )
        elif answer.number is not None:
            self.hear(answer.number)
        self._note_change()

    def on_message(
        self, message: messages.Message, peer: str | None, reply: Reply
    ) -> None:
        """Take a message about the configuration.

        :param message: any message; others are passed over.
        :param peer: address of the sender, None if it cannot be asked.
        :param reply: sends an answer to the sender.
        """
        if isinstance(message, messages.ConfigWanted):
            offer = self.tracker.make_offer(message.after)
            reply(
                messages.ConfigOffer(
                    offer.number, offer.encode(), message.nonce
                )
            )
        elif isinstance(message, messages.ConfigOffer):
            self._on_offer(message, peer)
        elif isinstance(message, messages.ChunkWanted):
            reply(self._make_chunk_offer(message))
        elif isinstance(message, messages.ChunkOffer):
            self._on_chunk_offer(message, peer)

    def ask_for_account(self, account: types.AccountId, send: Reply) -> None:
        """Ask a router that knows an account for its chunk.

        :param account: the account, which is not loaded here.
        :param send: sends a message to the router.
        """
        index = account_table.find_chunk_index(account)
        digest = self.current.accounts.hashes[index]
        send(messages.ChunkWanted(index, digest))

    async def require_account(self, account: types.AccountId) -> None:
        """Wait until an account can be looked up.

        :param account: the account.
        :raises errors.ConfigError: if it cannot be loaded in time.
        """
        with trio.move_on_after(ACCOUNT_WAIT_MS / types.SECOND_MS):
            while not self.tracker.request_account(account):
                self._wake.set()
                await self._changed.wait()
            return
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_UNAVAILABLE,
            f'expected to load account {account} within '
            f'{ACCOUNT_WAIT_MS:.0f} ms, nobody supplied it; try again',
            retry_after_ms=ACCOUNT_WAIT_MS,
        )

    async def run(self) -> None:
        """Do what the tracker decides, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                action = self.tracker.next_action(self._clock.now())
                if isinstance(action, config_actions.Wait):
                    await self._wait_until(action.until_ms)
                else:
                    nursery.start_soon(self._carry_out, action)

    async def _wait_until(self, until_ms: float) -> None:
        with trio.move_on_at(until_ms / types.SECOND_MS):
            await self._wake.wait()
        self._wake = trio.Event()

    async def _carry_out(self, action: config_actions.Action) -> None:
        try:
            await self._handlers[type(action)](action)
        except (
            errors.StoreError,
            errors.ConfigError,
            errors.LinkError,
        ) as exc:
            logger.info('CONFIG {} failed. {}', type(action).__name__, exc)
            self.tracker.on_failure(action, self._clock.now())
        self._note_change()

    def _note_change(self) -> None:
        self._wake.set()
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._reports:
            listener()
        if self.tracker.number == self._seen_number:
            return
        self._seen_number = self.tracker.number
        self.loaded.set()
        for listener in self._listeners:
            listener()

    def _list_concerned(self, delta: config_delta.Delta) -> list[str]:
        domains = {
            change.name for change in delta.changes if change.kind == 'domain'
        }
        return [
            member.address
            for member in self._members
            if member.domain in domains
        ]

    def _refresh_peers(self) -> None:
        nearby = [
            member.endpoint
            for member in self._members
            if member.domain == self._domain
        ]
        self.tracker.set_peers(
            [
                member.address
                for member in self._members
                if member.endpoint != self._node
            ],
            nearby,
            list(self._told),
        )

    async def _read_head(self, action: config_actions.ReadHead) -> None:
        asked_ms = self._clock.now()
        found = await self.reader.read_head()
        head = found[0] if found else None
        self.tracker.on_head(head, asked_ms, self._clock.now())

    async def _fetch_from_store(
        self, action: config_actions.FetchFromStore
    ) -> None:
        asked_ms = self._clock.now()
        offer = await self.reader.fetch_offer(action.head, action.after)
        self.tracker.on_offer(None, offer, asked_ms, self._clock.now())

    async def _fetch_from_peer(
        self, action: config_actions.FetchFromPeer
    ) -> None:
        send = await self._open_way(action.peer)
        self._nonce += 1
        self._asked[self._nonce] = (action.peer, self._clock.now())
        if len(self._asked) > MAX_QUESTIONS:
            del self._asked[min(self._asked)]
        send(messages.ConfigWanted(action.after, self._nonce))

    async def _open_way(self, peer: str) -> Reply:
        """Return what sends to a peer: its own connection, else a link."""
        if peer in self._told:
            return self._told[peer]
        if all(member.address != peer for member in self._members):
            raise errors.LinkError(
                errors.ErrorCode.LINK_LOST,
                f'expected a member or an open connection, got {peer}, '
                f'which is gone; ask another peer',
            )
        link = await self._links.acquire(peer)
        return link.send_soon

    def _on_offer(
        self, message: messages.ConfigOffer, peer: str | None
    ) -> None:
        try:
            offer = config_exchange.Offer.decode(message.payload)
        except errors.ConfigError as exc:
            logger.warning('CONFIG offer dropped. {}', exc)
            return
        # An announcement may lie in a buffer since before the question, so
        # only the answer to the question itself counts as one.
        asked_peer, asked_ms = self._asked.pop(message.nonce, (None, None))
        if asked_peer != peer:
            asked_ms = None
        self.tracker.on_offer(peer, offer, asked_ms, self._clock.now())
        self._note_change()

    async def _fetch_chunk(self, action: config_actions.FetchChunk) -> None:
        if action.peer is None:
            raw = await self.reader.read_chunk(action.digest)
            self.tracker.on_chunk(action.index, raw)
            return
        send = await self._open_way(action.peer)
        self._chunk_asked[action.peer] = action
        send(messages.ChunkWanted(action.index, action.digest))

    def _make_chunk_offer(
        self, message: messages.ChunkWanted
    ) -> messages.ChunkOffer:
        table = self.current.accounts
        is_known = 0 <= message.index < len(table.hashes)
        is_held = is_known and message.index not in table.find_unloaded()
        if is_held and table.hashes[message.index] == message.digest:
            raw = table.read_chunk(message.index)
            return messages.ChunkOffer(message.index, raw)
        return messages.ChunkOffer(message.index, b'')

    def _on_chunk_offer(
        self, message: messages.ChunkOffer, peer: str | None
    ) -> None:
        action = self._chunk_asked.pop(peer, None) if peer else None
        if message.payload:
            # The content hash tells whether it is the chunk in force.
            self.tracker.on_chunk(message.index, message.payload)
        elif action is not None:
            self.tracker.on_failure(action, self._clock.now())
        self._note_change()

    async def _watch(self, action: config_actions.OpenWatch) -> None:
        self._watch_scope = trio.CancelScope()
        with self._watch_scope:
            key = self.reader.keys.head
            # From the head's own revision: the store's early revisions may
            # be gone, and all changes since the first would come again.
            found = await self.reader.read_head()
            revision = found[1] if found else base.ABSENT
            async with self._kv.watch(key, revision) as changes:
                async for change in changes:
                    if change.entry is None:
                        continue
                    head = config_store.Head.decode(change.entry.value)
                    self.tracker.on_watch(head, self._clock.now())
                    self._note_change()

    async def _close_watch(self, action: config_actions.CloseWatch) -> None:
        self._watch_scope.cancel()

    async def _announce(self, action: config_actions.Announce) -> None:
        offer = action.offer
        message = messages.ConfigOffer(
            offer.number, offer.encode(), messages.UNSOLICITED
        )
        async with trio.open_nursery() as nursery:
            for peer in action.peers:
                nursery.start_soon(self._tell, peer, message)

    async def _tell(self, peer: str, message: messages.ConfigOffer) -> None:
        try:
            send = await self._open_way(peer)
        except errors.LinkError as exc:
            logger.debug('CONFIG not told to {}. {}', peer, exc)
            return
        send(message)
