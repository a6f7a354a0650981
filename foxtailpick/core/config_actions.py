"""Actions that a configuration tracker returns to its driver."""

import dataclasses

from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head from the store; report by `on_head`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromStore:
    """Read deltas, or the index if one is missing; report by `on_offer`.

    :param head: the head to reach.
    :param after: the number in force, zero to read the whole index.
    """

    head: config_store.Head
    after: types.ConfigNumber


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFromPeer:
    """Request the changes after a number from a peer; report by `on_offer`.

    :param peer: the peer.
    :param after: the number in force, zero to request the whole index.
    """

    peer: str
    after: types.ConfigNumber


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChunk:
    """Load a chunk of accounts; report by `on_chunk`.

    :param index: index of the chunk.
    :param digest: its content hash.
    :param peer: the peer to query, None for the store.
    """

    index: int
    digest: bytes
    peer: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class OpenWatch:
    """Watch the head; report each change by `on_watch`."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseWatch:
    """End the watch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Send an unsolicited offer to peers; no report is needed.

    :param peers: the peers.
    :param offer: the offer.
    """

    peers: tuple[str, ...]
    offer: config_exchange.Offer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing until a time, or until a report or frame arrives.

    :param until_ms: when to call `next_action` again.
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
