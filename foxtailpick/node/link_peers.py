"""Reaches the peers of the configuration over links."""

import typing

import trio

from foxtailpick.core import config_exchange
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.node import config_driver
from foxtailpick.node import links as links_lib

ANSWER_TIMEOUT_MS = 2_000.0

Send = typing.Callable[[messages.Message], None]
Question = tuple[str, int | None]


class LinkPeers(config_driver.ConfigPeers):
    """Questions to sidecars over links, and routers that are told.

    :param links: connections to sidecars.
    """

    def __init__(self, links: links_lib.LinkPool) -> None:
        self._links = links
        self._told: dict[str, Send] = {}
        self._waiting: dict[Question, trio.MemorySendChannel] = {}

    @property
    def listeners(self) -> list[str]:
        """Names of the routers with an open connection."""
        return list(self._told)

    def add_listener(self, name: str, send: Send) -> None:
        """Register a router with an open connection, to be told.

        :param name: name of the connection.
        :param send: sends it a message.
        """
        self._told[name] = send

    def drop_listener(self, name: str) -> None:
        """Remove a router whose connection is gone."""
        self._told.pop(name, None)

    async def ask(
        self, peer: str, after: types.ConfigNumber
    ) -> config_exchange.Offer:
        question = (peer, None)
        message = messages.ConfigWanted(after)
        return await self._ask(peer, question, message)

    async def ask_chunk(self, peer: str, index: int, digest: bytes) -> bytes:
        question = (peer, index)
        message = messages.ChunkWanted(index, digest)
        raw = await self._ask(peer, question, message)
        if not raw:
            raise errors.LinkError(
                errors.ErrorCode.CONFIG_UNAVAILABLE,
                f'expected chunk {index} of {peer}, which does not hold it; '
                f'ask another peer',
            )
        return raw

    async def tell(self, peer: str, offer: config_exchange.Offer) -> None:
        message = messages.ConfigOffer(offer.number, offer.encode())
        if peer in self._told:
            self._told[peer](message)
            return
        link = await self._links.acquire(peer)
        link.send_soon(message)

    def take_answer(
        self,
        peer: str | None,
        index: int | None,
        answer: config_exchange.Offer | bytes,
    ) -> bool:
        """Hand an answer to whoever asked.

        :param peer: who answered, None if it cannot have been asked.
        :param index: the chunk, None for an offer.
        :param answer: the offer or the chunk's bytes.
        :returns: whether it had been asked for.
        """
        waiting = self._waiting.pop((peer, index), None)
        if waiting is None:
            return False
        waiting.send_nowait(answer)
        return True

    async def _ask(
        self, peer: str, question: Question, message: messages.Message
    ) -> typing.Any:
        link = await self._links.acquire(peer)
        send, receive = trio.open_memory_channel(1)
        self._waiting[question] = send
        try:
            link.send_soon(message)
            with trio.move_on_after(ANSWER_TIMEOUT_MS / types.SECOND_MS):
                return await receive.receive()
        finally:
            if self._waiting.get(question) is send:
                del self._waiting[question]
        raise errors.LinkError(
            errors.ErrorCode.LINK_LOST,
            f'expected {peer} to answer within {ANSWER_TIMEOUT_MS:.0f} ms; '
            f'ask another peer',
        )
