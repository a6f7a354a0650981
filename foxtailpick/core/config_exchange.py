"""Exchange of the configuration between nodes."""

import collections
import dataclasses
import typing

import cbor2

from foxtailpick.core import config_delta
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import types

MAX_LOGGED_DELTAS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Data that brings a node from its number to a newer one.

    :param number: the number in force at the sender.
    :param deltas: encoded deltas up to that number, in order.
    :param index: the encoded index instead, if deltas are missing or would
        be larger.
    """

    number: types.ConfigNumber
    deltas: tuple[bytes, ...] = ()
    index: bytes | None = None

    def encode(self) -> bytes:
        """Encode the offer in CBOR."""
        return cbor2.dumps([self.number, list(self.deltas), self.index])

    @classmethod
    def decode(cls, raw: bytes) -> 'Offer':
        """Decode an offer.

        :raises errors.ConfigError: with code `CONFIG_CORRUPT`.
        """
        try:
            number, deltas, index = cbor2.loads(raw)
            return cls(types.ConfigNumber(number), tuple(deltas), index)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected an offer, got undecodable bytes ({exc}); '
                f'query another peer',
            ) from exc


class DeltaLog:
    """Bounded log of the newest deltas, to serve to peers."""

    def __init__(self) -> None:
        self._raws: collections.deque[tuple[int, bytes]] = collections.deque(
            maxlen=MAX_LOGGED_DELTAS
        )

    def append(self, number: types.ConfigNumber, raw: bytes) -> None:
        """Append the delta that creates a number; a gap clears the log."""
        if self._raws and self._raws[-1][0] != number - 1:
            self._raws.clear()
        self._raws.append((number, raw))

    def clear(self) -> None:
        """Remove all deltas, after numbers were skipped."""
        self._raws.clear()

    def make_offer(
        self, cfg: configuration.Configuration, after: types.ConfigNumber
    ) -> Offer:
        """Return the offer that brings a peer to the configuration in force.

        :param cfg: the configuration in force.
        :param after: the number in force at the peer.
        """
        if after >= cfg.number:
            return Offer(cfg.number)
        deltas = self._list_after(after)
        index = config_delta.encode_index(cfg)
        has_all = len(deltas) == cfg.number - after
        if has_all and sum(map(len, deltas)) <= len(index):
            return Offer(cfg.number, deltas)
        return Offer(cfg.number, index=index)

    def _list_after(self, after: types.ConfigNumber) -> tuple[bytes, ...]:
        return tuple(raw for number, raw in self._raws if number > after)


def apply_deltas(
    cfg: configuration.Configuration, raws: typing.Iterable[bytes]
) -> typing.Iterator[tuple[configuration.Configuration, bytes]]:
    """Yield each configuration that results from encoded deltas.

    Deltas up to the current number are skipped, so that the same offer may
    arrive twice.

    :param cfg: the current configuration.
    :param raws: encoded deltas in order.
    :raises errors.ConfigError: if a delta is missing or corrupt.
    """
    for raw in raws:
        delta = config_delta.Delta.decode(raw)
        if delta.number <= cfg.number:
            continue
        cfg = config_delta.apply_delta(cfg, delta)
        yield cfg, raw
