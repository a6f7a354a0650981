"""Keeps the configuration of a process up to date.

The tracker decides what to fetch and announce; this module does the I/O
with the store and with peers.
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

ACCOUNT_LOAD_TIMEOUT_MS = 2_000.0
MAX_PENDING_QUERIES = 64

Send = typing.Callable[[messages.Message], None]


class ConfigNode:
    """The configuration in force in one process.

    :param node: id of the process, as in the membership list.
    :param kv: the platform's key-value store.
    :param keys: names of the store's keys.
    :param monitor: checks that the number never decreases.
    :param rng: random source for jitter.
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
        self._change_listeners: list[typing.Callable[[], None]] = []
        self._update_listeners: list[typing.Callable[[], None]] = []
        self._members: list[base.Member] = []
        self._domain = types.FailureDomainId('')
        self._routers: dict[str, Send] = {}
        self._nonce = messages.UNSOLICITED
        self._pending_queries: dict[int, tuple[str, float]] = {}
        self._pending_chunks: dict[str, config_actions.FetchChunk] = {}
        self._watch_scope = trio.CancelScope()
        self._wake = trio.Event()
        self._changed = trio.Event()
        self._notified_number = types.ConfigNumber(0)
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
        """Return the number in force, which every frame carries."""
        return self.tracker.number

    def is_ready(self) -> bool:
        """Tell whether the process may report that it is ready."""
        return self.tracker.may_serve(self._clock.now())

    def check_admission(self) -> propagation.AdmissionCheck:
        """Tell whether new work may be admitted now."""
        admission = self.tracker.check_admission(self._clock.now())
        if self.tracker.is_verifying or self._notified_number == 0:
            self._wake.set()
        return admission

    def set_links(self, links: links_lib.LinkPool) -> None:
        """Set the link pool used to query peers."""
        self._links = links

    def add_change_listener(self, listener: typing.Callable[[], None]) -> None:
        """Register a callback for each change of the number in force."""
        self._change_listeners.append(listener)

    def add_update_listener(self, listener: typing.Callable[[], None]) -> None:
        """Register a callback for each update, also without a change."""
        self._update_listeners.append(listener)

    def update_members(
        self, members: list[base.Member], domain: types.FailureDomainId
    ) -> None:
        """Set the member list, whose sidecars are the peers.

        :param members: the list.
        :param domain: failure domain of this process.
        """
        self._members = members
        self._domain = domain
        self._refresh_peers()

    def find_address(self, node: str) -> str | None:
        """Return the address of a sidecar, None if it is unknown.

        :param node: id of the node.
        """
        for member in self._members:
            if member.endpoint == node:
                return member.address
        return None

    def add_router(self, name: str, send: Send) -> None:
        """Add a connected router, which receives announcements."""
        self._routers[name] = send
        self._refresh_peers()

    def remove_router(self, name: str) -> None:
        """Remove a router whose connection closed."""
        self._routers.pop(name, None)
        self._refresh_peers()

    def observe_number(
        self, number: types.ConfigNumber, peer: str | None = None
    ) -> None:
        """Process the configuration number on a received frame.

        :param number: number in force at the sender.
        :param peer: address for queries to the sender, None if it has none.
        """
        if self.tracker.observe_number(number, peer, self._clock.now()):
            self._wake.set()

    def on_accepted(self, answer: config_answers.PatchAnswer) -> None:
        """Apply a patch that the store accepted from this process.

        It is always announced to the sidecars of the failure domains that
        it changes.
        """
        if answer.cfg is not None and answer.delta is not None:
            self.tracker.on_accepted(
                answer.cfg,
                answer.delta,
                self._clock.now(),
                self._list_affected(answer.delta),
            )
        elif answer.number is not None:
            self.observe_number(answer.number)
        self._notify_listeners()

    def on_message(
        self, message: messages.Message, peer: str | None, reply: Send
    ) -> None:
        """Handle a message about the configuration.

        :param message: any message; unrelated ones are ignored.
        :param peer: address of the sender, None if it cannot be queried.
        :param reply: sends a message to the sender.
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

    def request_account_chunk(
        self, account: types.AccountId, send: Send
    ) -> None:
        """Request the chunk of an account from a router.

        :param account: the account, whose chunk is not loaded here.
        :param send: sends a message to the router.
        """
        index = account_table.find_chunk_index(account)
        digest = self.current.accounts.hashes[index]
        send(messages.ChunkWanted(index, digest))

    async def require_account(self, account: types.AccountId) -> None:
        """Wait until the chunk of an account is loaded.

        :param account: the account.
        :raises errors.ConfigError: if it is not loaded in time.
        """
        with trio.move_on_after(ACCOUNT_LOAD_TIMEOUT_MS / types.SECOND_MS):
            while not self.tracker.request_account(account):
                self._wake.set()
                await self._changed.wait()
            return
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_UNAVAILABLE,
            f'expected to load account {account} within '
            f'{ACCOUNT_LOAD_TIMEOUT_MS:.0f} ms, got it from neither the store '
            f'nor a peer; try again',
            retry_after_ms=ACCOUNT_LOAD_TIMEOUT_MS,
        )

    async def run(self) -> None:
        """Execute the actions of the tracker until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                action = self.tracker.next_action(self._clock.now())
                if isinstance(action, config_actions.Wait):
                    await self._wait_until(action.until_ms)
                else:
                    nursery.start_soon(self._execute, action)

    async def _wait_until(self, until_ms: float) -> None:
        with trio.move_on_at(until_ms / types.SECOND_MS):
            await self._wake.wait()
        self._wake = trio.Event()

    async def _execute(self, action: config_actions.Action) -> None:
        try:
            await self._handlers[type(action)](action)
        except (
            errors.StoreError,
            errors.ConfigError,
            errors.LinkError,
        ) as exc:
            logger.info('CONFIG {} failed. {}', type(action).__name__, exc)
            self.tracker.on_failure(action, self._clock.now())
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        self._wake.set()
        self._changed.set()
        self._changed = trio.Event()
        for listener in self._update_listeners:
            listener()
        if self.tracker.number == self._notified_number:
            return
        self._notified_number = self.tracker.number
        self.loaded.set()
        for listener in self._change_listeners:
            listener()

    def _list_affected(self, delta: config_delta.Delta) -> list[str]:
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
            list(self._routers),
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
        send = await self._open_channel(action.peer)
        self._nonce += 1
        self._pending_queries[self._nonce] = (action.peer, self._clock.now())
        if len(self._pending_queries) > MAX_PENDING_QUERIES:
            del self._pending_queries[min(self._pending_queries)]
        send(messages.ConfigWanted(action.after, self._nonce))

    async def _open_channel(self, peer: str) -> Send:
        """Return a function that sends over a peer's connection or a link."""
        if peer in self._routers:
            return self._routers[peer]
        if all(member.address != peer for member in self._members):
            raise errors.LinkError(
                errors.ErrorCode.LINK_LOST,
                f'expected a member or a connected router, got {peer}, '
                f'which is neither; query another peer',
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
        # An announcement may have been buffered before the query was sent,
        # so only the offer with the nonce of the query counts as its answer.
        asked_peer, asked_ms = self._pending_queries.pop(
            message.nonce, (None, None)
        )
        if asked_peer != peer:
            asked_ms = None
        self.tracker.on_offer(peer, offer, asked_ms, self._clock.now())
        self._notify_listeners()

    async def _fetch_chunk(self, action: config_actions.FetchChunk) -> None:
        if action.peer is None:
            raw = await self.reader.read_chunk(action.digest)
            self.tracker.on_chunk(action.index, raw)
            return
        send = await self._open_channel(action.peer)
        self._pending_chunks[action.peer] = action
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
        action = self._pending_chunks.pop(peer, None) if peer else None
        if message.payload:
            # The tracker checks the content hash.
            self.tracker.on_chunk(message.index, message.payload)
        elif action is not None:
            self.tracker.on_failure(action, self._clock.now())
        self._notify_listeners()

    async def _watch(self, action: config_actions.OpenWatch) -> None:
        self._watch_scope = trio.CancelScope()
        with self._watch_scope:
            key = self.reader.keys.head
            # Start at the head's revision: earlier revisions may have been
            # compacted, and all changes since the first would be replayed.
            found = await self.reader.read_head()
            revision = found[1] if found else base.ABSENT
            async with self._kv.watch(key, revision) as changes:
                async for change in changes:
                    if change.entry is None:
                        continue
                    head = config_store.Head.decode(change.entry.value)
                    self.tracker.on_watch(head, self._clock.now())
                    self._notify_listeners()

    async def _close_watch(self, action: config_actions.CloseWatch) -> None:
        self._watch_scope.cancel()

    async def _announce(self, action: config_actions.Announce) -> None:
        offer = action.offer
        message = messages.ConfigOffer(
            offer.number, offer.encode(), messages.UNSOLICITED
        )
        async with trio.open_nursery() as nursery:
            for peer in action.peers:
                nursery.start_soon(self._send_announcement, peer, message)

    async def _send_announcement(
        self, peer: str, message: messages.ConfigOffer
    ) -> None:
        try:
            send = await self._open_channel(peer)
        except errors.LinkError as exc:
            logger.debug('CONFIG not announced to {}. {}', peer, exc)
            return
        send(message)
