"""The interfaces that every adapter offers to the rest of the project."""

import abc
import dataclasses
import enum
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


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries of a prefix.

    :param entries: the entries, by key.
    :param revision: a revision from which a watch misses no change.
    """

    entries: list[Entry]
    revision: types.Revision


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


@dataclasses.dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat.

    :param role: `system`, `user` or `assistant`.
    :param content: its text.
    """

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """A chat completion to run.

    :param request: id of the request, the same over all its attempts.
    :param model: the model, or adapter, to run.
    :param messages: the whole chat so far.
    :param max_tokens: tokens of the answer, at least one.
    :param chat: id of the returning chat, None for a single request.
    :param priority: scheduling class, honoured by the engine.
    :param resume_from: index of the first token wanted.
    """

    request: types.RequestId
    model: types.ModelId
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    chat: types.ChatId | None = None
    priority: types.Priority = types.Priority.NORMAL
    resume_from: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that a completion took.

    :param prompt_tokens: tokens of the messages.
    :param cached_tokens: those of them found in the prefix cache.
    :param completion_tokens: tokens generated in this attempt.
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """A piece of an answer.

    :param offset: index of its token in the whole answer.
    :param text: its text, empty in the closing chunk.
    :param finish_reason: why the answer ended, in the closing chunk only.
    :param usage: what the attempt took, in the closing chunk only.
    """

    offset: int
    text: str
    finish_reason: str | None = None
    usage: Usage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load as it reports it, some time late.

    :param running: completions in its batch.
    :param cached_tokens: tokens in its prefix cache.
    :param age_ms: how old the reading is, in milliseconds.
    """

    running: int
    cached_tokens: int
    age_ms: float


class CacheEventKind(enum.Enum):
    """What happened to a chat's prefix in an engine's cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache, published late.

    :param sequence: its number; a missing number is a lost event.
    :param kind: what happened.
    :param chat: the chat whose prefix it was.
    :param tokens: length of the prefix.
    """

    sequence: int
    kind: CacheEventKind
    chat: types.ChatId
    tokens: int


class OrderKind(enum.Enum):
    """What an endpoint can be ordered to do."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    SET_ROLE = 'set-role'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint.

    :param kind: what to do.
    :param target: the model, adapter or role.
    :param fencing: the fencing number of the sender's lease.
    """

    kind: OrderKind
    target: str
    fencing: int


class Engine(abc.ABC):
    """A model engine.

    Every call may raise `errors.RequestError`. Its verdict is `NOT_RUN`
    if the engine was not reached or refused, else `MAY_HAVE_RUN`.
    """

    @abc.abstractmethod
    def stream_chat(
        self, call: ChatCall
    ) -> typing.AsyncContextManager[typing.AsyncIterator[TokenChunk]]:
        """Run a completion; leaving the context cancels what is left.

        Used as `async with engine.stream_chat(call) as chunks:`. The last
        chunk has a `finish_reason`; iteration that ends without an error
        has given the whole answer.
        """

    @abc.abstractmethod
    async def cancel(self, request: types.RequestId) -> bool:
        """Cancel a running completion; tell whether there was one."""

    @abc.abstractmethod
    async def read_load(self) -> LoadReport:
        """Return the engine's load report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> list[CacheEvent]:
        """Return published cache events with a higher sequence number."""

    @abc.abstractmethod
    async def send_order(self, order: Order) -> None:
        """Give an order.

        :raises errors.RequestError: with code `ORDER_FENCED` if the
            engine has seen a higher fencing number.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The whole answer of a plain service, whatever its status.

    :param status: HTTP status.
    :param headers: end-to-end headers, names in lower case.
    :param body: bytes of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(abc.ABC):
    """A plain service beside the model engines."""

    @abc.abstractmethod
    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: typing.Mapping[str, str],
    ) -> ServiceAnswer:
        """Make one call, once; it is never sent again by the adapter.

        :param method: HTTP method.
        :param path: path and query, starting with a slash.
        :param body: bytes of the body.
        :param headers: headers to pass on.
        :raises errors.RequestError: `NOT_RUN` if the service was not
            reached, `MAY_HAVE_RUN` if no whole answer came.
        """
