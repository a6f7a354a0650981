"""What nodes tell one another of the configuration."""

import collections
import dataclasses
import typing

import cbor2

from foxtailpick.core import config_delta
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import types

KEPT_DELTAS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """The answer to a node that asks for what follows its number.

    :param number: the number in force at the answering node.
    :param deltas: encoded deltas that lead there, in order.
    :param index: encoded index instead, where deltas are not kept or
        would be larger.
    """

    number: types.ConfigNumber
    deltas: tuple[bytes, ...] = ()
    index: bytes | None = None

    def encode(self) -> bytes:
        """Return the offer in CBOR."""
        return cbor2.dumps([self.number, list(self.deltas), self.index])

    @classmethod
    def decode(cls, raw: bytes) -> 'Offer':
        """Read an offer.

        :raises errors.ConfigError: with code `CONFIG_CORRUPT`.
        """
        try:
            number, deltas, index = cbor2.loads(raw)
            return cls(types.ConfigNumber(number), tuple(deltas), index)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected an offer, got bytes that do not fit ({exc}); '
                f'ask another peer',
            ) from exc


class DeltaLog:
    """The newest deltas that a node holds, for its peers."""

    def __init__(self) -> None:
        self._raws: collections.deque[tuple[int, bytes]] = collections.deque(
            maxlen=KEPT_DELTAS
        )

    def append(self, number: types.ConfigNumber, raw: bytes) -> None:
        """Keep the delta that made a number."""
        if self._raws and self._raws[-1][0] != number - 1:
            self._raws.clear()
        self._raws.append((number, raw))

    def clear(self) -> None:
        """Forget all, after a jump over numbers."""
        self._raws.clear()

    def make_offer(
        self, cfg: configuration.Configuration, after: types.ConfigNumber
    ) -> Offer:
        """Return what leads a peer to the configuration in force.

        :param cfg: the configuration in force.
        :param after: the peer's number.
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


def advance(
    cfg: configuration.Configuration, raws: typing.Iterable[bytes]
) -> typing.Iterator[tuple[configuration.Configuration, bytes]]:
    """Yield each configuration that encoded deltas lead to.

    Deltas up to the present number are passed over, so the same answer may
    arrive twice.

    :param cfg: the present configuration.
    :param raws: encoded deltas in order.
    :raises errors.ConfigError: if one is missing between, or corrupt.
    """
    for raw in raws:
        delta = config_delta.Delta.decode(raw)
        if delta.number <= cfg.number:
            continue
        cfg = config_delta.apply_delta(cfg, delta)
        yield cfg, raw
