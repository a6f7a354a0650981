"""Abstract interfaces of the adapters, with their data types."""

import abc
import dataclasses
import enum
import typing

from foxtailpick.core import types

ABSENT = types.Revision(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the key-value store.

    :param key: key.
    :param value: value, at most one megabyte.
    :param revision: revision of the last change, above zero.
    :param lease: lease that the entry is attached to, if any.
    """

    key: str
    value: bytes
    revision: types.Revision
    lease: types.LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    :param key: key to compare.
    :param revision: expected revision, `ABSENT` for no entry.
    """

    key: str
    revision: types.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write of a transaction.

    :param key: key to write.
    :param value: new value, at most one megabyte.
    :param lease: lease whose expiry removes the entry, if any.
    """

    key: str
    value: bytes
    lease: types.LeaseId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A delete of a transaction.

    :param key: key to delete; an absent key is not an error.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TxnResult:
    """The result of a transaction.

    :param is_applied: whether all conditions held and all writes were made.
    :param revision: revision of the store after the transaction.
    :param current: entries of the compared keys, if it was not applied.
    """

    is_applied: bool
    revision: types.Revision
    current: tuple[Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change reported by a watch.

    :param key: changed key.
    :param entry: new entry, None if it was deleted.
    :param revision: revision of the change, None if it isn't known.
    """

    key: str
    entry: Entry | None
    revision: types.Revision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A position in the history of a store.

    :param revision: revision of the store.
    :param era: number of times that the store was restored from a copy,
        None if the store doesn't state it. A restored store gives the
        revisions after its copy out again.
    """

    revision: types.Revision
    era: types.Era | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries with a key prefix.

    :param entries: entries, sorted by key.
    :param position: position from which a watch misses no change.
    """

    entries: list[Entry]
    position: Position


class KeyValue(abc.ABC):
    """The key-value store of the platform.

    Every call may raise `errors.StoreError`: with code
    `STORE_UNAVAILABLE` and verdict `NOT_RUN` if nothing was changed, with
    code `STORE_OUTCOME_UNKNOWN` and verdict `MAY_HAVE_RUN` if a write may
    have been applied.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, None if there is none."""

    @abc.abstractmethod
    async def get_prefix(self, prefix: str) -> list[Entry]:
        """Return all entries whose key has a prefix, sorted by key."""

    @abc.abstractmethod
    async def transact(
        self,
        compares: typing.Sequence[Compare],
        writes: typing.Sequence[Put | Delete],
    ) -> TxnResult:
        """Apply all writes atomically if all conditions hold, else none."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_ms: float) -> types.LeaseId:
        """Create a lease that expires after `ttl_ms` unless renewed."""

    @abc.abstractmethod
    async def renew_lease(self, lease: types.LeaseId) -> None:
        """Renew a lease for its full TTL.

        :raises errors.StoreError: with code `LEASE_LOST` if it has expired.
        """

    @abc.abstractmethod
    async def revoke_lease(self, lease: types.LeaseId) -> None:
        """Revoke a lease and delete the entries attached to it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: types.Revision
    ) -> typing.AsyncContextManager[typing.AsyncIterator[Change]]:
        """Watch a key prefix for changes after a revision.

        Used as `async with kv.watch(...) as changes:`; the iterator raises
        `errors.StoreError` when the watch is lost.
        """

    async def put_if_absent(
        self, key: str, value: bytes, lease: types.LeaseId | None = None
    ) -> TxnResult:
        """Write a value if the key has none."""
        return await self.transact(
            [Compare(key, ABSENT)], [Put(key, value, lease)]
        )

    async def compare_and_swap(
        self, key: str, revision: types.Revision, value: bytes
    ) -> TxnResult:
        """Replace a value if its revision is the given one."""
        return await self.transact([Compare(key, revision)], [Put(key, value)])


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An instance in the membership list of the platform.

    :param endpoint: endpoint of the instance.
    :param incarnation: id that differs for a replacement of the instance.
    :param address: `host:port` of its sidecar.
    :param region: region.
    :param domain: failure domain.
    :param service: service it belongs to.
    :param capacity: relative capacity, above zero.
    :param is_leaving: whether the platform is removing it.
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
    """The platform's list of live and leaving instances, with a lag."""

    @abc.abstractmethod
    async def list_members(self) -> list[Member]:
        """Return the members currently listed.

        :raises errors.StoreError: if the list cannot be read.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ChatMessage:
    """A message of a chat.

    :param role: `system`, `user` or `assistant`.
    :param content: text.
    """

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChatCall:
    """A chat completion to run.

    :param request: id of the request, the same for all its attempts.
    :param model: model or adapter to run.
    :param messages: all messages of the chat so far.
    :param max_tokens: token limit of the answer, at least one.
    :param chat: id of a multi-turn chat, None for a single request.
    :param priority: scheduling class, applied by the engine.
    :param resume_from: index of the first token to return.
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
    """Token usage of a completion.

    :param prompt_tokens: tokens of the prompt.
    :param cached_tokens: prompt tokens found in the prefix cache.
    :param completion_tokens: tokens generated in this attempt.
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenChunk:
    """A chunk of a streamed answer.

    :param offset: index of its token in the whole answer.
    :param text: text, empty in the final chunk.
    :param finish_reason: why the answer ended, in the final chunk only.
    :param usage: token usage of the attempt, in the final chunk only.
    """

    offset: int
    text: str
    finish_reason: str | None = None
    usage: Usage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load reported by an engine, with a delay.

    :param running: completions in the batch.
    :param cached_tokens: tokens in the prefix cache.
    :param age_ms: age of the reading.
    """

    running: int
    cached_tokens: int
    age_ms: float


class CacheEventKind(enum.Enum):
    """Kind of change of a prefix in the cache of an engine."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache of an engine, published with a delay.

    :param sequence: sequence number; a gap means a lost event.
    :param kind: kind of change.
    :param chat: chat that the prefix belongs to.
    :param tokens: length of the prefix in tokens.
    """

    sequence: int
    kind: CacheEventKind
    chat: types.ChatId
    tokens: int


class OrderKind(enum.Enum):
    """Kind of an order to an endpoint."""

    LOAD_MODEL = 'load-model'
    LOAD_ADAPTER = 'load-adapter'
    SET_ROLE = 'set-role'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint.

    :param kind: kind of the order.
    :param target: model, adapter or role.
    :param fencing: fencing number of the sender's lease.
    """

    kind: OrderKind
    target: str
    fencing: int


class Engine(abc.ABC):
    """A model engine.

    Every call may raise `errors.RequestError`, with verdict `NOT_RUN` if
    the engine was not reached or refused, else `MAY_HAVE_RUN`.
    """

    @abc.abstractmethod
    def stream_chat(
        self, call: ChatCall
    ) -> typing.AsyncContextManager[typing.AsyncIterator[TokenChunk]]:
        """Stream a completion; leaving the context cancels it.

        Used as `async with engine.stream_chat(call) as chunks:`. The last
        chunk has a `finish_reason`; iteration that ends without an error
        has yielded the complete answer.
        """

    @abc.abstractmethod
    async def cancel(self, request: types.RequestId) -> bool:
        """Cancel a running completion; return whether there was one."""

    @abc.abstractmethod
    async def read_load(self) -> EngineLoad:
        """Return the load reported by the engine."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> list[CacheEvent]:
        """Return published cache events numbered above `after`."""

    @abc.abstractmethod
    async def send_order(self, order: Order) -> None:
        """Send an order.

        :raises errors.RequestError: with code `ORDER_FENCED` if the
            engine has seen a higher fencing number.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The complete answer of a plain service, with any status.

    :param status: HTTP status.
    :param headers: end-to-end headers, names in lower case.
    :param body: body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(abc.ABC):
    """An HTTP service other than a model engine."""

    @abc.abstractmethod
    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: typing.Mapping[str, str],
    ) -> ServiceAnswer:
        """Send one call; the adapter never retries it.

        :param method: HTTP method.
        :param path: path and query, starting with a slash.
        :param body: body.
        :param headers: headers to forward.
        :raises errors.RequestError: `NOT_RUN` if the service was not
            reached, `MAY_HAVE_RUN` if no complete answer was received.
        """
