"""The interfaces that every adapter offers to the rest of the project."""

import abc
import dataclasses
import typing

from foxtailpick.core import types

ABSENT = types.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored value.

    :param key: its key.
    :param value: its bytes, at most one megabyte.
    :param revision: revision of its last change, above zero.
    :param lease: the lease it is bound to, if any.
    """

    key: str
    value: bytes
    revision: types.Revision
    lease: types.LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    :param key: the key to look at.
    :param revision: the revision it must have, `ABSENT` for no value.
    """

    key: str
    revision: types.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    :param key: the key to write.
    :param value: the new value, at most one megabyte.
    :param lease: the lease whose end removes the value, if any.
    """

    key: str
    value: bytes
    lease: types.LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A removal of a transaction.

    :param key: the key to remove; an absent key is no error.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """The answer to a transaction.

    :param is_applied: whether all conditions held and all writes were made.
    :param revision: the store's revision after the transaction.
    :param current: the entries found under the compared keys, when it was
        not applied.
    """

    is_applied: bool
    revision: types.Revision
    current: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change seen by a watch.

    :param key: the key that changed.
    :param entry: its new entry, None if it was removed.
    """

    key: str
    entry: Entry | None


class KeyValue(abc.ABC):
    """The platform's key-value service.

    Every call may raise `errors.StoreError`: with code
    `STORE_UNAVAILABLE` and verdict `NOT_RUN` if nothing was changed, with
    code `STORE_OUTCOME_UNKNOWN` and verdict `MAY_HAVE_RUN` if a write may
    have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry under a key, None if there is none."""

    @abc.abstractmethod
    async def get_prefix(self, prefix: str) -> list[Entry]:
        """Return all entries whose key starts with a prefix, by key."""

    @abc.abstractmethod
    async def transact(
        self,
        compares: typing.Sequence[Compare],
        writes: typing.Sequence[Put | Delete],
    ) -> TxnResult:
        """Make all writes if all conditions hold, else none."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        """Create a lease that ends after `ttl_ms` unless kept alive."""

    @abc.abstractmethod
    async def keep_lease(self, lease: types.LeaseId) -> None:
        """Restart a lease's time.

        :raises errors.StoreError: with code `LEASE_LOST` if it has ended.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: types.LeaseId) -> None:
        """End a lease and remove what is bound to it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncContextManager[typing.AsyncIterator[Change]]:
        """Open a watch on a prefix for changes after a revision.

        Used as `async with kv.watch(...) as changes:`; the iterator raises
        `errors.StoreError` when the watch is lost.
        """

    async def put_if_absent(
        self, key: str, value: bytes, lease: types.LeaseId | None = None
    ) -> TxnResult:
        """Write a value only where none is."""
        return await self.transact(
            [Compare(key, ABSENT)], [Put(key, value, lease)]
        )

    async def compare_and_swap(
        self, key: str, revision: types.Revision, value: bytes
    ) -> TxnResult:
        """Replace a value only if its revision is still the given one."""
        return await self.transact([Compare(key, revision)], [Put(key, value)])


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance as the platform's membership list shows it.

    :param endpoint: the endpoint behind the instance.
    :param incarnation: differs between an instance and its replacement.
    :param address: `host:port` of its sidecar.
    :param region: its region.
    :param domain: its failure domain.
    :param service: the service it belongs to.
    :param capacity: its relative capacity, above zero.
    :param is_leaving: whether the platform is taking it away.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation
    address: str
    region: types.RegionId
    domain: types.FailureDomainId
    service: types.ServiceId
    capacity: float = 1.0
    is_leaving: bool = False


class MembershipList(abc.ABC):
    """The platform's list of live and leaving instances; it lags."""

    @abc.abstractmethod
    async def list_members(self) -> list[Member]:
        """Return the members as last known to the platform.

        :raises errors.StoreError: if the list cannot be read.
        """
