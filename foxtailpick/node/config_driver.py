"""Carries out what a configuration tracker decides."""

import abc
import typing

from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_actions
from foxtailpick.core import config_answers
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import propagation
from foxtailpick.core import types

# Time alone may change an admission, without any report.
RECHECK_MS = 250.0


class ConfigPeers(abc.ABC):
    """How a node reaches its peers.

    Each call may raise `errors.LinkError`.
    """

    @abc.abstractmethod
    async def ask(
        self, peer: str, after: types.ConfigNumber
    ) -> config_exchange.Offer:
        """Ask a peer what follows a number."""

    @abc.abstractmethod
    async def ask_chunk(self, peer: str, index: int, digest: bytes) -> bytes:
        """Ask a peer for a chunk of accounts."""

    @abc.abstractmethod
    async def tell(self, peer: str, offer: config_exchange.Offer) -> None:
        """Send a peer an offer unasked."""


class ConfigDriver:
    """One tracker with its store, peers and clock.

    :param tracker: decides.
    :param reader: reads the numbered configuration.
    :param kv: the platform's key-value service, for the watch.
    :param peers: reaches the peers.
    :param clock: a monotonic clock.
    """

    def __init__(
        self,
        tracker: propagation.ConfigTracker,
        reader: config_store.ConfigReader,
        kv: base.KeyValue,
        peers: ConfigPeers,
        clock: clock_lib.Clock,
    ) -> None:
        self._tracker = tracker
        self._reader = reader
        self._kv = kv
        self._peers = peers
        self._clock = clock
        self._listeners: list[typing.Callable[[], None]] = []
        self._shown = types.ConfigNumber(0)
        self._reported = trio.Event()
        self._nudged = trio.Event()
        self._watch: trio.CancelScope | None = None
        self._nursery: trio.Nursery | None = None

    def read(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._tracker.cfg

    def read_number(self) -> types.ConfigNumber:
        """Return its number, which rides on every frame."""
        return self._tracker.number

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call a function after each new number."""
        self._listeners.append(listener)

    def may_serve(self) -> bool:
        """Tell whether the node may report itself ready."""
        return self._tracker.may_serve(self._clock.now())

    def hear(
        self, number: types.ConfigNumber, peer: str | None = None
    ) -> None:
        """Take the number on a frame.

        :param number: the number.
        :param peer: its sender, None if it cannot be asked.
        """
        if self._tracker.hear(number, peer, self._clock.now()):
            self._report()

    def take(self, peer: str, offer: config_exchange.Offer) -> None:
        """Take an offer that a peer sent unasked."""
        self._tracker.on_offer(peer, offer, None, self._clock.now())
        self._report()

    def answer(self, after: types.ConfigNumber) -> config_exchange.Offer:
        """Return the answer to a peer that asks what follows a number."""
        return self._tracker.make_offer(after)

    def take_answer(
        self,
        answer: config_answers.PatchAnswer,
        urgent: typing.Iterable[str] = (),
    ) -> None:
        """Put in force what a patch submitted here has made.

        :param answer: the answer to the operator.
        :param urgent: peers to tell in any case.
        """
        now_ms = self._clock.now()
        if answer.delta is not None:
            self._tracker.on_accepted(answer.cfg, answer.delta, now_ms, urgent)
        elif answer.number is not None:
            self._tracker.hear(answer.number, None, now_ms)
        self._report()

    def set_peers(
        self,
        peers: typing.Iterable[str],
        domain_nodes: typing.Collection[str] = (),
        listeners: typing.Iterable[str] = (),
    ) -> None:
        """Replace the peers, as `ConfigTracker.set_peers` does."""
        self._tracker.set_peers(peers, domain_nodes, listeners)
        self._report()

    async def wait_admitted(self, patience_ms: float) -> bool:
        """Hold new work until the number is confirmed.

        :param patience_ms: how long at most.
        :returns: whether work may be admitted under `read()`.
        """
        with trio.move_on_after(patience_ms / types.SECOND_MS):
            while True:
                admission = self._tracker.check_admission(self._clock.now())
                if admission is propagation.Admission.ADMIT:
                    return True
                await self._wait_report()
        return False

    async def load_account(self, account: types.AccountId) -> None:
        """Wait until an account can be looked up."""
        while not self._tracker.want_account(account):
            await self._wait_report()

    async def run(self) -> None:
        """Act for ever."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                action = self._tracker.next_action(self._clock.now())
                if isinstance(action, config_actions.Wait):
                    await self._rest(action.until_ms)
                elif isinstance(action, config_actions.CloseWatch):
                    self._watch.cancel()
                else:
                    nursery.start_soon(self._carry_out, action)

    async def _rest(self, until_ms: float) -> None:
        delay_ms = max(until_ms - self._clock.now(), 0.0)
        with trio.move_on_after(delay_ms / types.SECOND_MS):
            await self._nudged.wait()
        self._nudged = trio.Event()

    async def _wait_report(self) -> None:
        # The tracker may want something only since it was asked. Others
        # that wait are not woken, or two of them would wake each other.
        self._nudged.set()
        with trio.move_on_after(RECHECK_MS / types.SECOND_MS):
            await self._reported.wait()

    def _report(self) -> None:
        """Wake whoever waits for a change of the tracker."""
        self._nudged.set()
        self._reported.set()
        self._reported = trio.Event()
        if self._tracker.number == self._shown:
            return
        self._shown = self._tracker.number
        for listener in self._listeners:
            listener()

    async def _carry_out(self, action: config_actions.Action) -> None:
        try:
            await self._handle(action)
        except errors.FoxtailError as exc:
            name = type(action).__name__
            logger.info('CONFIG {} failed. {}', name, exc)
            self._tracker.on_failure(action, self._clock.now())
        self._report()

    async def _handle(self, action: config_actions.Action) -> None:
        if isinstance(action, config_actions.ReadHead):
            await self._read_head()
        elif isinstance(action, config_actions.FetchFromStore):
            await self._fetch_from_store(action)
        elif isinstance(action, config_actions.FetchFromPeer):
            await self._fetch_from_peer(action)
        elif isinstance(action, config_actions.FetchChunk):
            await self._fetch_chunk(action)
        elif isinstance(action, config_actions.OpenWatch):
            await self._follow_watch()
        elif isinstance(action, config_actions.Announce):
            for peer in action.peers:
                self._nursery.start_soon(self._tell, peer, action.offer)

    async def _read_head(self) -> None:
        asked_ms = self._clock.now()
        found = await self._reader.read_head()
        head = found[0] if found else None
        self._tracker.on_head(head, asked_ms, self._clock.now())

    async def _fetch_from_store(
        self, action: config_actions.FetchFromStore
    ) -> None:
        asked_ms = self._clock.now()
        offer = await self._reader.fetch_offer(action.head, action.after)
        self._tracker.on_offer(None, offer, asked_ms, self._clock.now())

    async def _fetch_from_peer(
        self, action: config_actions.FetchFromPeer
    ) -> None:
        asked_ms = self._clock.now()
        offer = await self._peers.ask(action.peer, action.after)
        now_ms = self._clock.now()
        self._tracker.on_offer(action.peer, offer, asked_ms, now_ms)

    async def _fetch_chunk(self, action: config_actions.FetchChunk) -> None:
        if action.peer is None:
            raw = await self._reader.read_chunk(action.digest)
        else:
            raw = await self._peers.ask_chunk(
                action.peer, action.index, action.digest
            )
        self._tracker.on_chunk(action.index, raw)

    async def _follow_watch(self) -> None:
        self._watch = trio.CancelScope()
        with self._watch:
            found = await self._reader.read_head()
            revision = found[1] if found else base.ABSENT
            key = self._reader.keys.head
            async with self._kv.watch(key, revision) as changes:
                async for change in changes:
                    if change.entry is not None:
                        head = config_store.Head.decode(change.entry.value)
                        self._tracker.on_watch(head, self._clock.now())
                        self._report()

    async def _tell(self, peer: str, offer: config_exchange.Offer) -> None:
        try:
            await self._peers.tell(peer, offer)
        except errors.LinkError as exc:
            logger.debug('CONFIG {} not told. {}', peer, exc)
