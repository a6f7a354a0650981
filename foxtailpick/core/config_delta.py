"""Encoding of configurations: the index and the deltas between numbers."""

import dataclasses
import datetime
import typing

import cbor2

from foxtailpick.core import account_table
from foxtailpick.core import config_ini
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import patches
from foxtailpick.core import types

_SHARED_KINDS = tuple(
    kind for kind in configuration.KINDS if kind.name != 'account'
)
_ACCOUNTS = 'account'


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Changes of one accepted patch.

    :param number: the number that the patch created.
    :param patch_id: id of the patch.
    :param author: the operator who submitted it.
    :param reason: the reason given.
    :param accepted_ms: time of acceptance, in milliseconds since the Unix
        epoch.
    :param changes: the items set or removed.
    :param chunk_hashes: index and new hash of each changed account chunk.
    :param index_hash: hash of the resulting index.
    """

    number: types.ConfigNumber
    patch_id: types.PatchId
    author: types.OperatorId
    reason: str
    accepted_ms: float
    changes: tuple[patches.ItemChange, ...]
    chunk_hashes: tuple[tuple[int, bytes], ...]
    index_hash: bytes

    def encode(self) -> bytes:
        """Encode the delta in CBOR."""
        return cbor2.dumps(
            [
                self.number,
                self.patch_id,
                self.author,
                self.reason,
                self.accepted_ms,
                [_pack_change(change) for change in self.changes],
                [list(pair) for pair in self.chunk_hashes],
                self.index_hash,
            ]
        )

    @classmethod
    def decode(cls, raw: bytes) -> 'Delta':
        """Decode a delta.

        :raises errors.ConfigError: with code `CONFIG_CORRUPT`.
        """
        try:
            values = cbor2.loads(raw)
            number, patch_id, author, reason, at_ms, changes, pairs, digest = (
                values
            )
            return cls(
                types.ConfigNumber(number),
                types.PatchId(patch_id),
                types.OperatorId(author),
                reason,
                at_ms,
                tuple(_unpack_change(change) for change in changes),
                tuple((index, chunk_hash) for index, chunk_hash in pairs),
                digest,
            )
        except _DECODE_ERRORS as exc:
            raise _make_corrupt_error('a delta', exc) from exc

    def describe(self) -> str:
        """Return one line for the history."""
        items = ', '.join(
            f'[{change.kind} {change.name}]' for change in self.changes
        )
        seconds = self.accepted_ms / types.SECOND_MS
        accepted = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
        when = accepted.isoformat(timespec='seconds')
        return (
            f'{self.number} at {when} by {self.author} ({self.reason}): '
            f'{items}'
        )


_DECODE_ERRORS = (cbor2.CBORDecodeError, KeyError, TypeError, ValueError)


def _make_corrupt_error(expected: str, exc: Exception) -> errors.ConfigError:
    return errors.ConfigError(
        errors.ErrorCode.CONFIG_CORRUPT,
        f'expected {expected}, got undecodable bytes ({exc}); '
        f'fetch it from another source',
    )


def _pack_change(change: patches.ItemChange) -> list[typing.Any]:
    kind = configuration.KINDS_BY_NAME[change.kind]
    packed = None
    if change.item is not None:
        packed = config_ini.pack_item(kind, change.item)
    return [change.kind, change.name, packed]


def _unpack_change(
    values: typing.Sequence[typing.Any],
) -> patches.ItemChange:
    kind_name, name, packed = values
    kind = configuration.KINDS_BY_NAME[kind_name]
    item = None
    if packed is not None:
        item = config_ini.unpack_item(kind, name, packed)
    return patches.ItemChange(kind_name, name, item)


def encode_index(cfg: configuration.Configuration) -> bytes:
    """Encode all items but accounts, and the hash of each account chunk.

    :param cfg: the configuration; its chunks need not be loaded.
    """
    table = account_table.AccountTable.from_mapping(cfg.accounts)
    index: dict[str, typing.Any] = {
        kind.name: _pack_items(kind, cfg) for kind in _SHARED_KINDS
    }
    index[_ACCOUNTS] = b''.join(table.hashes)
    return cbor2.dumps(index)


def _pack_items(
    kind: config_ini.Kind, cfg: configuration.Configuration
) -> dict[str, typing.Any]:
    items = getattr(cfg, configuration.ATTRIBUTES[kind.name])
    return {
        name: config_ini.pack_item(kind, items[name]) for name in sorted(items)
    }


def decode_index(
    raw: bytes, number: types.ConfigNumber
) -> configuration.Configuration:
    """Decode an index into a configuration without loaded accounts.

    :param raw: result of `encode_index`.
    :param number: the number of the index.
    :raises errors.ConfigError: with code `CONFIG_CORRUPT`.
    """
    try:
        index = cbor2.loads(raw)
        shared = {
            configuration.ATTRIBUTES[kind.name]: {
                name: config_ini.unpack_item(kind, name, packed)
                for name, packed in index[kind.name].items()
            }
            for kind in _SHARED_KINDS
        }
        hashes = _split_hashes(index[_ACCOUNTS])
    except _DECODE_ERRORS as exc:
        raise _make_corrupt_error('an index', exc) from exc
    accounts = account_table.AccountTable.from_hashes(hashes)
    return configuration.Configuration(number, accounts=accounts, **shared)


def _split_hashes(joined: bytes) -> list[bytes]:
    size = account_table.HASH_BYTES
    if len(joined) != size * account_table.CHUNKS:
        raise ValueError(f'{len(joined)} bytes of chunk hashes')
    return [joined[i : i + size] for i in range(0, len(joined), size)]


def make_delta(
    patch: patches.Patch,
    changes: tuple[patches.ItemChange, ...],
    old: configuration.Configuration,
    new: configuration.Configuration,
    now_ms: float,
) -> Delta:
    """Return the delta of a validated patch.

    :param patch: the patch.
    :param changes: its changes.
    :param old: the configuration before, with `AccountTable` accounts.
    :param new: the configuration after.
    :param now_ms: wall clock time in milliseconds.
    """
    pairs = enumerate(zip(old.accounts.hashes, new.accounts.hashes))
    changed = tuple(
        (index, after) for index, (before, after) in pairs if before != after
    )
    return Delta(
        new.number,
        patch.patch_id,
        patch.author,
        patch.reason,
        now_ms,
        changes,
        changed,
        account_table.hash_content(encode_index(new)),
    )


def apply_delta(
    cfg: configuration.Configuration, delta: Delta
) -> configuration.Configuration:
    """Return the configuration of the next number.

    :param cfg: the current configuration, loaded in part or in full.
    :param delta: the delta to the next number.
    :raises errors.ConfigError: if the delta is for another number, or the
        result does not match its hash.
    """
    if delta.number != cfg.number + 1:
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_OUTDATED,
            f'expected the delta to {cfg.number + 1}, got {delta.number}; '
            f'fetch the missing deltas',
        )
    accounts = {
        types.AccountId(change.name): change.item
        for change in delta.changes
        if change.kind == _ACCOUNTS
    }
    table = account_table.AccountTable.from_mapping(cfg.accounts)
    table = table.apply_remote_changes(accounts, dict(delta.chunk_hashes))
    try:
        after = patches.replace_shared(cfg, delta.changes, table)
    except KeyError as exc:
        raise _make_corrupt_error('a listed item to remove', exc) from exc
    found = account_table.hash_content(encode_index(after))
    if found != delta.index_hash:
        raise errors.ConfigError(
            errors.ErrorCode.CONFIG_CORRUPT,
            f'expected index {delta.index_hash.hex()} at {delta.number}, '
            f'got {found.hex()}; load the whole index',
        )
    return after
