"""The numbered configuration in the platform's store: layout and reads.

Under one prefix lie the head (number and index hash), the ledger (chunks
that wait for collection), and one key per chunk, delta and patch id.
"""

import dataclasses
import typing

import cbor2

from foxtailpick.core import account_table
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import types

if typing.TYPE_CHECKING:
    from foxtailpick.adapters import base

HISTORY_PATCHES = 2_000
RETAINED_NUMBERS = 64
MAX_COLLECTED_PER_PATCH = 24
# Each delta is a read of its own, the index is one of about 5 KB.
MAX_DELTAS_READ = 4

_DECODE_ERRORS = (cbor2.CBORDecodeError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Names of the keys.

    :param prefix: start of every key.
    """

    prefix: str = 'foxtailpick/config/'

    @property
    def head(self) -> str:
        """Return the key of the head."""
        return f'{self.prefix}head'

    @property
    def ledger(self) -> str:
        """Return the key of the ledger."""
        return f'{self.prefix}ledger'

    def name_chunk(self, digest: bytes) -> str:
        """Return the key of an account chunk or an index."""
        return f'{self.prefix}chunk/{digest.hex()}'

    def name_delta(self, number: int) -> str:
        """Return the key of the delta that made a number."""
        return f'{self.prefix}delta/{number:012d}'

    def name_patch(self, patch_id: types.PatchId) -> str:
        """Return the key that records a landed patch."""
        return f'{self.prefix}patch/{patch_id}'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest number.

    :param number: the number.
    :param index_hash: hash of its index.
    """

    number: types.ConfigNumber
    index_hash: bytes

    def encode(self) -> bytes:
        """Return the head in CBOR."""
        return cbor2.dumps([self.number, self.index_hash])

    @classmethod
    def decode(cls, raw: bytes) -> 'Head':
        """Read a head.

        :raises errors.ConfigError: with code `CONFIG_CORRUPT`.
        """
        try:
            number, index_hash = cbor2.loads(raw)
        except _DECODE_ERRORS as exc:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected a head, got {raw[:32]!r}; restore the key',
            ) from exc
        return cls(types.ConfigNumber(number), index_hash)


@dataclasses.dataclass(frozen=True, slots=True)
class Ledger:
    """Chunks that the newest number no longer refers to.

    :param retired: hash to the first number without it. No number from
        there to the newest refers to the chunk.
    """

    retired: typing.Mapping[bytes, int] = dataclasses.field(
        default_factory=dict
    )

    def encode(self) -> bytes:
        """Return the ledger in CBOR."""
        return cbor2.dumps(dict(self.retired))

    @classmethod
    def decode(cls, raw: bytes) -> 'Ledger':
        """Read a ledger."""
        return cls(cbor2.loads(raw))

    def advance(
        self,
        number: int,
        added: typing.Collection[bytes],
        dropped: typing.Collection[bytes],
    ) -> tuple['Ledger', list[bytes]]:
        """Return the next ledger and the chunks to collect now.

        A chunk that comes back into use leaves the ledger, so what is
        collected was in no number of the last `RETAINED_NUMBERS`.

        :param number: the number being made.
        :param added: chunks that it refers to and the one before does not.
        :param dropped: chunks that only the one before refers to.
        """
        retired = dict(self.retired)
        retired.update((digest, number) for digest in dropped)
        for digest in added:
            retired.pop(digest, None)
        due = [
            digest
            for digest, since in retired.items()
            if since + RETAINED_NUMBERS <= number
        ]
        due = due[:MAX_COLLECTED_PER_PATCH]
        for digest in due:
            del retired[digest]
        return Ledger(retired), due


class ConfigReader:
    """Reads heads, indexes, chunks and deltas.

    :param kv: the platform's key-value service.
    :param keys: names of the keys.
    """

    def __init__(self, kv: 'base.KeyValue', keys: Keys = Keys()) -> None:
        self._kv = kv
        self.keys = keys

    async def read_head(self) -> tuple[Head, types.Revision] | None:
        """Return the head and its revision, None before the first number.

        :raises errors.StoreError: if the store cannot be read.
        """
        entry = await self._kv.get(self.keys.head)
        if entry is None:
            return None
        return Head.decode(entry.value), entry.revision

    async def load_index(
        self, head: Head, held: configuration.Configuration | None = None
    ) -> configuration.Configuration:
        """Return the configuration of a head with no account loaded.

        :param head: the head.
        :param held: an earlier configuration, whose chunks are reused.
        :raises errors.ConfigError: with code `CONFIG_UNAVAILABLE` if the
            index was collected: read the head again.
        """
        raw = await self.read_chunk(head.index_hash)
        cfg = config_delta.decode_index(raw, head.number)
        if held is None:
            return cfg
        return dataclasses.replace(
            cfg, accounts=cfg.accounts.reuse_chunks(held.accounts)
        )

    async def load_chunks(
        self,
        cfg: configuration.Configuration,
        indexes: typing.Iterable[int] | None = None,
    ) -> configuration.Configuration:
        """Return the configuration with account chunks loaded.

        :param cfg: what `load_index` returned.
        :param indexes: the chunks wanted, all if None.
        :raises errors.ConfigError: if a chunk was collected or is corrupt.
        """
        table = cfg.accounts
        wanted = table.find_unloaded() if indexes is None else indexes
        for index in wanted:
            raw = await self.read_chunk(table.hashes[index])
            table = table.with_chunk(index, raw)
        return dataclasses.replace(cfg, accounts=table)

    async def read_chunk(self, digest: bytes) -> bytes:
        """Return a value by its content hash.

        :raises errors.ConfigError: if it was collected or is corrupt.
        """
        entry = await self._kv.get(self.keys.name_chunk(digest))
        if entry is None:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_UNAVAILABLE,
                f'expected chunk {digest.hex()}, got none; it was collected '
                f'after newer patches, read the head again',
            )
        if account_table.hash_content(entry.value) != digest:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected chunk {digest.hex()}, got other content; '
                f'restore the key',
            )
        return entry.value

    async def read_delta(self, number: int) -> config_delta.Delta | None:
        """Return the delta that made a number, None if it is not kept."""
        entry = await self._kv.get(self.keys.name_delta(number))
        if entry is None:
            return None
        return config_delta.Delta.decode(entry.value)

    async def fetch_offer(
        self, head: Head, after: types.ConfigNumber
    ) -> config_exchange.Offer:
        """Return what leads a node to a head: deltas if few, else the index.

        :param head: the head to reach.
        :param after: the node's number, zero for none.
        :raises errors.ConfigError: if the index was collected meanwhile.
        """
        if after and head.number - after <= MAX_DELTAS_READ:
            found = await self.read_history(head.number, head.number - after)
            if len(found) == head.number - after:
                raws = tuple(delta.encode() for delta in found)
                return config_exchange.Offer(head.number, raws)
        raw = await self.read_chunk(head.index_hash)
        return config_exchange.Offer(head.number, index=raw)

    async def read_history(
        self, last: int, count: int
    ) -> list[config_delta.Delta]:
        """Return the newest deltas up to a number, oldest first.

        :param last: the newest number wanted.
        :param count: how many at most.
        """
        first = max(last - count + 1, 1)
        found = [await self.read_delta(n) for n in range(first, last + 1)]
        return [delta for delta in found if delta is not None]
