"""Key-value store restricted to a key prefix."""

import contextlib
import dataclasses
import typing

from foxtailpick.adapters import base
from foxtailpick.core import types


class PrefixedKeyValue(base.KeyValue):
    """Separates the keys of a deployment from those of others.

    :param kv: the underlying store.
    :param prefix: prepended to every key.
    """

    def __init__(self, kv: base.KeyValue, prefix: str) -> None:
        self._kv = kv
        self._prefix = prefix

    async def get(self, key: str) -> base.Entry | None:
        entry = await self._kv.get(self._prefix + key)
        return self._strip_prefix(entry) if entry is not None else None

    async def get_prefix(self, prefix: str) -> list[base.Entry]:
        entries = await self._kv.get_prefix(self._prefix + prefix)
        return [self._strip_prefix(entry) for entry in entries]

    async def transact(
        self,
        compares: typing.Sequence[base.Compare],
        writes: typing.Sequence[base.Put | base.Delete],
    ) -> base.TxnResult:
        result = await self._kv.transact(
            [self._add_prefix(compare) for compare in compares],
            [self._add_prefix(write) for write in writes],
        )
        current = tuple(self._strip_prefix(entry) for entry in result.current)
        return dataclasses.replace(result, current=current)

    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        return await self._kv.grant_lease(ttl_ms)

    async def renew_lease(self, lease: types.LeaseId) -> None:
        await self._kv.renew_lease(lease)

    async def revoke_lease(self, lease: types.LeaseId) -> None:
        await self._kv.revoke_lease(lease)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.Change]]:
        async with self._kv.watch(self._prefix + prefix, after) as changes:
            yield self._strip_changes(changes)

    async def _strip_changes(
        self, changes: typing.AsyncIterator[base.Change]
    ) -> typing.AsyncIterator[base.Change]:
        async for change in changes:
            entry = change.entry
            if entry is not None:
                entry = self._strip_prefix(entry)
            key = change.key.removeprefix(self._prefix)
            yield base.Change(key, entry)

    def _add_prefix(self, item: typing.Any) -> typing.Any:
        return dataclasses.replace(item, key=self._prefix + item.key)

    def _strip_prefix(self, entry: base.Entry) -> base.Entry:
        key = entry.key.removeprefix(self._prefix)
        return dataclasses.replace(entry, key=key)
