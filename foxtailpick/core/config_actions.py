"""What a configuration tracker asks its driver to do."""

import dataclasses

from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head from the store; answer by `on_head`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Read deltas, or the index if one is gone; answer by `on_offer`.

    :param head: the head to reach.
    :param after: the number in force here.
    """

    head: config_store.Head
    after: types.ConfigNumber


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Ask a peer what follows a number; answer by `on_offer`.

    :param peer: the peer.
    :param after: the number in force here.
    """

    peer: str
    after: types.ConfigNumber


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChunk:
    """Load a chunk of accounts; answer by `on_chunk`.

    :param index: the chunk.
    :param digest: its content hash.
    :param peer: the peer to ask, None for the store.
    """

    index: int
    digest: bytes
    peer: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch the head; each change arrives by `on_watch`."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseWatch:
    """End the watch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Send an offer to peers unasked; no answer is needed.

    :param peers: the peers.
    :param offer: the offer.
    """

    peers: tuple[str, ...]
    offer: config_exchange.Offer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until a time, or until an event arrives.

    :param until_ms: when to ask for the next action.
    """

    until_ms: float


Action = (
    ReadHead
    | FetchFromStore
    | FetchFromPeer
    | FetchChunk
    | OpenWatch
    | CloseWatch
    | Announce
    | Wait
)
