"""Messages between routers and sidecars.

Every frame carries the sender's configuration number beside its message,
so that a newer configuration is heard of on traffic that flows anyway.
Durations are milliseconds that remain, never instants: the clocks of two
instances are not compared.
"""

import dataclasses

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

PROTOCOL_VERSION = 1
UNASKED = 0
MAX_FRAME_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each side.

    :param version: protocol version of the sender.
    :param node: router id or endpoint id of the sender.
    :param incarnation: changes when the sender's process is replaced.
    """

    version: int
    node: str
    incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class OpenChat:
    """Router asks the sidecar to run a chat completion.

    :param attempt: id of this attempt, never used twice.
    :param request: id of the caller's request.
    :param account: client account that pays.
    :param chat: chat that the request continues.
    :param model: model asked for.
    :param priority: scheduling class.
    :param deadline_ms: time left until the caller's deadline.
    :param prompt_tokens: estimated tokens of the prompt.
    :param max_tokens: tokens of the answer at most.
    :param mean_load: the router's view of the pool's mean load.
    :param resume_from: index of the first token wanted.
    :param candidates: endpoints that the router would try next.
    :param body: the caller's request body, JSON.
    """

    attempt: types.AttemptId
    request: types.RequestId
    account: types.AccountId
    chat: types.ChatId
    model: types.ModelId
    priority: types.Priority
    deadline_ms: float
    prompt_tokens: int
    max_tokens: int
    mean_load: float | None
    resume_from: int
    candidates: tuple[types.EndpointId, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """Router asks the sidecar to run a call of a plain service.

    :param attempt: id of this attempt, never used twice.
    :param request: id of the caller's request.
    :param account: client account that pays.
    :param service: service asked for.
    :param method: HTTP method.
    :param path: path below the endpoint's URL.
    :param key: idempotency key of the caller, empty for none.
    :param is_idempotent: whether running it twice equals running it once.
    :param content_type: media type of the body.
    :param deadline_ms: time left until the caller's deadline.
    :param mean_load: the router's view of the pool's mean load.
    :param candidates: endpoints that the router would try next.
    :param body: request body.
    """

    attempt: types.AttemptId
    request: types.RequestId
    account: types.AccountId
    service: types.ServiceId
    method: str
    path: str
    key: types.IdempotencyKey
    is_idempotent: bool
    content_type: str
    deadline_ms: float
    mean_load: float | None
    candidates: tuple[types.EndpointId, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Router gives up an attempt; its work may stop.

    :param attempt: the attempt.
    """

    attempt: types.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Router has handed on all chunks before a sequence number.

    :param attempt: the attempt.
    :param sequence: number of the first chunk not yet handed on.
    """

    attempt: types.AttemptId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Router asks for the rest of a stream, maybe begun by another router.

    :param attempt: the attempt.
    :param account: client account that opened it.
    :param incarnation: the sidecar's incarnation that it was sent to.
    :param age_ms: time since the attempt was sent, by the router.
    :param sequence: number of the first chunk wanted.
    :param check: check value of the chunk before it, if it is known.
    """

    attempt: types.AttemptId
    account: types.AccountId
    incarnation: types.Incarnation
    age_ms: float
    sequence: int
    check: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Sidecar admitted an attempt, which runs or waits its turn.

    :param attempt: the attempt.
    :param queue_length: attempts that wait at the endpoint.
    :param load: load of the endpoint, tokens per unit of capacity.
    :param mean_load: mean load of its pool, as known there.
    """

    attempt: types.AttemptId
    queue_length: int
    load: float
    mean_load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Chunks:
    """Part of a stream.

    :param attempt: the attempt.
    :param sequence: number of the first chunk in this frame.
    :param texts: the chunks, one token each.
    :param checks: their chained check values, see `replay`.
    :param load: load of the endpoint, tokens per unit of capacity.
    """

    attempt: types.AttemptId
    sequence: int
    texts: tuple[str, ...]
    checks: tuple[int, ...]
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """A stream is complete.

    :param attempt: the attempt.
    :param sequence: how many chunks the whole stream has.
    :param check: check value of the end of the stream.
    :param finish_reason: why the engine ended it.
    :param prompt_tokens: tokens of the prompt.
    :param cached_tokens: prompt tokens found in the engine's cache.
    :param load: load of the endpoint, tokens per unit of capacity.
    """

    attempt: types.AttemptId
    sequence: int
    check: int
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to a plain call.

    :param attempt: the attempt.
    :param status: HTTP status of the service.
    :param content_type: media type of the body.
    :param body: body of the answer.
    """

    attempt: types.AttemptId
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt ended without an answer, or was refused.

    :param attempt: the attempt.
    :param code: why.
    :param verdict: whether it may have run; `NOT_RUN` closes it for good.
    :param detail: what was expected, what came and what to do.
    :param retry_after_ms: when another try may succeed.
    :param load: load of the endpoint, tokens per unit of capacity.
    :param mean_load: mean load of its pool, as known there.
    :param hints: endpoints that likely admit the attempt.
    """

    attempt: types.AttemptId
    code: errors.ErrorCode
    verdict: verdict_lib.Verdict
    detail: str
    retry_after_ms: float | None
    load: float
    mean_load: float
    hints: tuple[types.EndpointId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateNotice:
    """Sidecar's state, sent on a new connection and on each change.

    :param state: life cycle state of the endpoint.
    :param load: load of the endpoint, tokens per unit of capacity.
    """

    state: types.EndpointState
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigWanted:
    """A node asks its peer for the configuration after a number.

    :param after: number of the asker's configuration.
    :param nonce: serial number of the question, above zero.
    """

    after: types.ConfigNumber
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer:
    """A configuration, or the change that leads to it.

    :param number: number of the configuration reached.
    :param payload: encoded by the configuration modules.
    :param nonce: of the question that it answers, `UNASKED` for none.
    """

    number: types.ConfigNumber
    payload: bytes
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkWanted:
    """A node asks its peer for a chunk of accounts.

    :param index: the chunk.
    :param digest: its content hash.
    """

    index: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkOffer:
    """A chunk of accounts.

    :param index: the chunk.
    :param payload: its bytes, empty if the sender does not hold it.
    """

    index: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sidecar asks for a reply in the order of the router's frames.

    :param nonce: serial number of the probe on the connection.
    """

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """Router's reply; frames behind it were sent after the probe.

    :param nonce: the number of the probe.
    """

    nonce: int


Message = (
    Hello
    | OpenChat
    | OpenCall
    | Cancel
    | Acknowledge
    | Resume
    | Accepted
    | Chunks
    | Finished
    | Answer
    | Failed
    | StateNotice
    | ConfigWanted
    | ConfigOffer
    | Probe
    | ProbeReply
    | ChunkWanted
    | ChunkOffer
)


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with its envelope.

    :param number: configuration number in force at the sender.
    :param message: the message.
    """

    number: types.ConfigNumber
    message: Message
