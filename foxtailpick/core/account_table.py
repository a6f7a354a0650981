"""Client accounts in content-addressed chunks, loaded on demand.

Chunks stay encoded in memory: 29,000 decoded accounts would take several
times the space, and a lookup decodes a single account.
"""

import collections.abc
import hashlib
import typing

import cbor2
import xxhash

from foxtailpick.core import config_ini
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import types

CHUNKS = 256
HASH_BYTES = 16

_KIND = configuration.KINDS_BY_NAME['account']

Changes = typing.Mapping[types.AccountId, configuration.AccountConfig | None]


def hash_content(raw: bytes) -> bytes:
    """Return the hash under which a value is stored.

    It is collision-resistant, because competing partners write to the same
    store.
    """
    return hashlib.blake2b(raw, digest_size=HASH_BYTES).digest()


def find_chunk_index(account: types.AccountId) -> int:
    """Return the index of an account's chunk, 0 to `CHUNKS` - 1."""
    return xxhash.xxh3_64_intdigest(account.encode()) % CHUNKS


def _encode_rows(rows: typing.Mapping[str, bytes]) -> bytes:
    return cbor2.dumps(dict(sorted(rows.items())))


def _pack_row(account: configuration.AccountConfig) -> bytes:
    return cbor2.dumps(config_ini.pack_item(_KIND, account))


EMPTY_CHUNK = _encode_rows({})
EMPTY_HASH = hash_content(EMPTY_CHUNK)


class AccountTable(
    collections.abc.Mapping[types.AccountId, configuration.AccountConfig]
):
    """Immutable table of all accounts under one number.

    :param hashes: content hash of each chunk.
    :param chunks: encoded chunks, None if not loaded.
    """

    __slots__ = ('_chunks', 'hashes')

    def __init__(
        self,
        hashes: tuple[bytes, ...] = (EMPTY_HASH,) * CHUNKS,
        chunks: tuple[bytes | None, ...] = (EMPTY_CHUNK,) * CHUNKS,
    ) -> None:
        self.hashes = hashes
        self._chunks = chunks

    @classmethod
    def from_mapping(
        cls,
        accounts: typing.Mapping[types.AccountId, configuration.AccountConfig],
    ) -> 'AccountTable':
        """Return the accounts as a table; a table is returned unchanged."""
        if isinstance(accounts, cls):
            return accounts
        return cls().replace_accounts(accounts)

    @classmethod
    def from_hashes(cls, hashes: typing.Iterable[bytes]) -> 'AccountTable':
        """Return a table in which only empty chunks are loaded."""
        known = tuple(hashes)
        chunks = [
            EMPTY_CHUNK if item == EMPTY_HASH else None for item in known
        ]
        return cls(known, tuple(chunks))

    def __getitem__(
        self, account: types.AccountId
    ) -> configuration.AccountConfig:
        row = self._load_rows(find_chunk_index(account))[account]
        return config_ini.unpack_item(_KIND, account, cbor2.loads(row))

    def __iter__(self) -> typing.Iterator[types.AccountId]:
        for index in range(CHUNKS):
            yield from self._load_rows(index)

    def __len__(self) -> int:
        return sum(len(self._load_rows(index)) for index in range(CHUNKS))

    def __eq__(self, other: object) -> bool:
        if isinstance(other, AccountTable):
            return self.hashes == other.hashes
        return collections.abc.Mapping.__eq__(self, other)

    __hash__ = None

    def is_loaded(self, account: types.AccountId) -> bool:
        """Tell whether the chunk of an account is loaded."""
        return self.is_chunk_loaded(find_chunk_index(account))

    def is_chunk_loaded(self, index: int) -> bool:
        """Tell whether a chunk is loaded."""
        return self._chunks[index] is not None

    def find_unloaded(self) -> list[int]:
        """Return the indexes of chunks that are not loaded."""
        return [i for i, raw in enumerate(self._chunks) if raw is None]

    def read_chunk(self, index: int) -> bytes:
        """Return an encoded chunk.

        :raises errors.ConfigError: if it is not loaded.
        """
        raw = self._chunks[index]
        if raw is None:
            raise errors.ConfigError(
                errors.ErrorCode.CONFIG_UNAVAILABLE,
                f'expected chunk {index} of the accounts, got none yet; '
                f'load it from a peer or the store, then retry',
            )
        return raw

    def with_chunk(self, index: int, raw: bytes) -> 'AccountTable':
        """Return the table with one more chunk loaded.

        :raises errors.ConfigError: if the content does not match its hash.
        """
        _check_content(index, self.hashes[index], raw)
        chunks = list(self._chunks)
        chunks[index] = raw
        return AccountTable(self.hashes, tuple(chunks))

    def reuse_chunks(self, earlier: 'AccountTable') -> 'AccountTable':
        """Return the table with unchanged chunks taken from an earlier one.

        :param earlier: the earlier table.
        """
        chunks = list(self._chunks)
        for index, digest in enumerate(self.hashes):
            if chunks[index] is None and earlier.hashes[index] == digest:
                chunks[index] = earlier._chunks[index]
        return AccountTable(self.hashes, tuple(chunks))

    def replace_accounts(self, changes: Changes) -> 'AccountTable':
        """Return the table with accounts replaced or removed.

        :param changes: new state of each account, None to remove it.
        :raises errors.ConfigError: if an affected chunk is not loaded.
        """
        chunks = list(self._chunks)
        hashes = list(self.hashes)
        for index, group in _group_by_chunk(changes).items():
            raw = _update_rows(self._load_rows(index), group)
            chunks[index] = raw
            hashes[index] = hash_content(raw)
        return AccountTable(tuple(hashes), tuple(chunks))

    def apply_remote_changes(
        self, changes: Changes, hashes: typing.Mapping[int, bytes]
    ) -> 'AccountTable':
        """Return the table after a change made on another node.

        Chunks that are not loaded only get their new hash.

        :param changes: new state of each account, None to remove it.
        :param hashes: new hash of each affected chunk.
        :raises errors.ConfigError: if a changed chunk does not match its
            hash.
        """
        new_hashes = list(self.hashes)
        chunks = list(self._chunks)
        groups = _group_by_chunk(changes)
        for index, expected in hashes.items():
            new_hashes[index] = expected
            if chunks[index] is not None:
                raw = _update_rows(
                    self._load_rows(index), groups.get(index, {})
                )
                _check_content(index, expected, raw)
                chunks[index] = raw
        return AccountTable(tuple(new_hashes), tuple(chunks))

    def _load_rows(self, index: int) -> dict[str, bytes]:
        return cbor2.loads(self.read_chunk(index))


def _check_content(index: int, expected: bytes, raw: bytes) -> None:
    found = hash_content(raw)
    if found != expected:
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_CORRUPT,
            f'expected chunk {index} with hash {expected.hex()}, got '
            f'{found.hex()}; fetch it from another source',
        )


def _group_by_chunk(changes: Changes) -> dict[int, Changes]:
    groups: dict[int, dict] = {}
    for name, account in changes.items():
        groups.setdefault(find_chunk_index(name), {})[name] = account
    return groups


def _update_rows(rows: dict[str, bytes], changes: Changes) -> bytes:
    for name, account in changes.items():
        if account is None:
            rows.pop(name, None)
        else:
            rows[name] = _pack_row(account)
    return _encode_rows(rows)
