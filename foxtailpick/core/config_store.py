"""The numbered configuration in the platform's store: layout and reads.

One prefix holds the head (number and index hash), the ledger (chunks that
await garbage collection), and one key per chunk, delta and patch id.
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
MAX_DELETED_PER_PATCH = 24
# Each delta costs one read; the index is a single read of about 5 KB.
MAX_DELTAS_READ = 4

_DECODE_ERRORS = (cbor2.CBORDecodeError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Keys in the store.

    :param prefix: common prefix of all keys.
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

    def chunk_key(self, digest: bytes) -> str:
        """Return the key of an account chunk or an index."""
        return f'{self.prefix}chunk/{digest.hex()}'

    def delta_key(self, number: int) -> str:
        """Return the key of the delta that created a number."""
        return f'{self.prefix}delta/{number:012d}'

    def patch_key(self, patch_id: types.PatchId) -> str:
        """Return the key of the record of a committed patch."""
        return f'{self.prefix}patch/{patch_id}'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest number and its index.

    :param number: the number.
    :param index_hash: hash of its index.
    """

    number: types.ConfigNumber
    index_hash: bytes

    def encode(self) -> bytes:
        """Encode the head in CBOR."""
        return cbor2.dumps([self.number, self.index_hash])

    @classmethod
    def decode(cls, raw: bytes) -> 'Head':
        """Decode a head.

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
    """Chunks that the newest number no longer references.

    :param retired: maps a hash to the first number without the chunk. No
        number from there to the newest references it.
    """

    retired: typing.Mapping[bytes, int] = dataclasses.field(
        default_factory=dict
    )

    def encode(self) -> bytes:
        """Encode the ledger in CBOR."""
        return cbor2.dumps(dict(self.retired))

    @classmethod
    def decode(cls, raw: bytes) -> 'Ledger':
        """Decode a ledger."""
        return cls(cbor2.loads(raw))

    def advance(
        self,
        number: int,
        added: typing.Collection[bytes],
        dropped: typing.Collection[bytes],
    ) -> tuple['Ledger', list[bytes]]:
        """Return the next ledger and the chunks to delete now.

        A chunk that is referenced again leaves the ledger, so a deleted
        chunk was in none of the last `RETAINED_NUMBERS` numbers.

        :param number: the number being created.
        :param added: chunks that it references and its predecessor does not.
        :param dropped: chunks that only its predecessor references.
        """
        retired = dict(self.retired)
        retired.update((digest, number) for digest in dropped)
        for digest in added:
            retired.pop(digest, None)
        deletable = [
            digest
            for digest, since in retired.items()
            if since + RETAINED_NUMBERS <= number
        ]
        deletable = deletable[:MAX_DELETED_PER_PATCH]
        for digest in deletable:
            del retired[digest]
        return Ledger(retired), deletable


class ConfigReader:
    """Reads heads, indexes, chunks and deltas.

    :param kv: the platform's key-value service.
    :param keys: keys in the store.
    """

    def __init__(self, kv: 'base.KeyValue', keys: Keys = Keys()) -> None:
        self._kv = kv
        self.keys = keys

    async def read_head(self) -> tuple[Head, types.Revision] | None:
        """Return the head and its revision, None if there is no number yet.

        :raises errors.StoreError: if the store cannot be read.
        """
        entry = await self._kv.get(self.keys.head)
        if entry is None:
            return None
        return Head.decode(entry.value), entry.revision

    async def load_index(
        self, head: Head, earlier: configuration.Configuration | None = None
    ) -> configuration.Configuration:
        """Return the configuration of a head without loaded accounts.

        :param head: the head.
        :param earlier: an earlier configuration, whose chunks are reused.
        :raises errors.ConfigError: with code `CONFIG_UNAVAILABLE` if the
            index has been deleted: read the head again.
        """
        raw = await self.read_chunk(head.index_hash)
        cfg = config_delta.decode_index(raw, head.number)
        if earlier is None:
            return cfg
        return dataclasses.replace(
            cfg, accounts=cfg.accounts.reuse_chunks(earlier.accounts)
        )

    async def load_chunks(
        self,
        cfg: configuration.Configuration,
        indexes: typing.Iterable[int] | None = None,
    ) -> configuration.Configuration:
        """Return the configuration with account chunks loaded.

        :param cfg: result of `load_index`.
        :param indexes: the chunks to load, all if None.
        :raises errors.ConfigError: if a chunk was deleted or is corrupt.
        """
        table = cfg.accounts
        wanted = table.find_unloaded() if indexes is None else indexes
        for index in wanted:
            raw = await self.read_chunk(table.hashes[index])
            table = table.with_chunk(index, raw)
        return dataclasses.replace(cfg, accounts=table)

    async def read_chunk(self, digest: bytes) -> bytes:
        """Return a value by its content hash.

        :raises errors.ConfigError: if it was deleted or is corrupt.
        """
        entry = await self._kv.get(self.keys.chunk_key(digest))
        if entry is None:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_UNAVAILABLE,
                f'expected chunk {digest.hex()}, got none; newer patches '
                f'led to its deletion, read the head again',
            )
        if account_table.hash_content(entry.value) != digest:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected chunk {digest.hex()}, got other content; '
                f'restore the value',
            )
        return entry.value

    async def read_delta(self, number: int) -> config_delta.Delta | None:
        """Return the delta that created a number, None if it was deleted."""
        entry = await self._kv.get(self.keys.delta_key(number))
        if entry is None:
            return None
        return config_delta.Delta.decode(entry.value)

    async def fetch_offer(
        self, head: Head, after: types.ConfigNumber
    ) -> config_exchange.Offer:
        """Return an offer up to a head: few deltas, otherwise the index.

        :param head: the head to reach.
        :param after: the number in force at the node, zero if none.
        :raises errors.ConfigError: if the index has been deleted.
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

        :param last: the newest number to read.
        :param count: maximum number of deltas.
        """
        first = max(last - count + 1, 1)
        found = [await self.read_delta(n) for n in range(first, last + 1)]
        return [delta for delta in found if delta is not None]
