"""Messages between routers and sidecars.

Every frame carries the sender's configuration number beside its message,
so that ordinary traffic announces a newer configuration. Time limits are
sent as remaining milliseconds, never as timestamps: the clocks of two
instances are not compared.
"""

import dataclasses

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

PROTOCOL_VERSION = 1
UNSOLICITED = 0
MAX_FRAME_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First frame sent by each side of a connection.

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

    :param attempt: unique id of this attempt.
    :param request: id of the caller's request.
    :param account: client account that is charged.
    :param chat: chat that the request continues.
    :param model: requested model.
    :param priority: scheduling class.
    :param deadline_ms: time left until the caller's deadline.
    :param prompt_tokens: estimated length of the prompt in tokens.
    :param max_tokens: maximum number of tokens to generate.
    :param mean_load: the router's view of the pool's mean load.
    :param resume_from: index of the first token to send.
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

    :param attempt: unique id of this attempt.
    :param request: id of the caller's request.
    :param account: client account that is charged.
    :param service: requested service.
    :param method: HTTP method.
    :param path: path relative to the endpoint's URL.
    :param key: the caller's idempotency key, empty if there is none.
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
    """Router cancels an attempt; the sidecar may stop its work.

    :param attempt: the attempt.
    """

    attempt: types.AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledge:
    """Router has forwarded all chunks before a sequence number.

    :param attempt: the attempt.
    :param sequence: number of the first chunk not yet forwarded.
    """

    attempt: types.AttemptId
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Router asks for the rest of a stream, maybe opened by another router.

    :param attempt: the attempt.
    :param account: client account that opened it.
    :param incarnation: sidecar incarnation that the attempt was sent to.
    :param age_ms: time since the attempt was sent, by the router's clock.
    :param sequence: number of the first chunk to send.
    :param check: check value of the preceding chunk, None if unknown.
    """

    attempt: types.AttemptId
    account: types.AccountId
    incarnation: types.Incarnation
    age_ms: float
    sequence: int
    check: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Sidecar admitted an attempt, which is running or queued.

    :param attempt: the attempt.
    :param queue_length: attempts queued at the endpoint.
    :param load: load of the endpoint, tokens per unit of capacity.
    :param mean_load: the sidecar's estimate of its pool's mean load.
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
    :param checks: chained check values of the chunks, see `replay`.
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
    :param sequence: number of chunks in the whole stream.
    :param check: check value of the end of the stream.
    :param finish_reason: why the engine ended the stream.
    :param prompt_tokens: number of tokens in the prompt.
    :param cached_tokens: prompt tokens found in the engine's prefix cache.
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
    """Complete response to a call of a plain service.

    :param attempt: the attempt.
    :param status: HTTP status returned by the service.
    :param content_type: media type of the body.
    :param body: response body.
    """

    attempt: types.AttemptId
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt failed without an answer, or was refused.

    :param attempt: the attempt.
    :param code: error code.
    :param verdict: whether it may have run; after `NOT_RUN` it never runs.
    :param detail: what was expected, what was found and what to do.
    :param retry_after_ms: delay until a retry may succeed.
    :param load: load of the endpoint, tokens per unit of capacity.
    :param mean_load: the sidecar's estimate of its pool's mean load.
    :param hints: endpoints that are likely to admit the attempt.
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
    """State of the sidecar, sent on a new connection and on every change.

    :param state: life cycle state of the endpoint.
    :param load: load of the endpoint, tokens per unit of capacity.
    """

    state: types.EndpointState
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigWanted:
    """A node asks its peer for any configuration after a number.

    :param after: configuration number in force at the sender.
    :param nonce: serial number of the query, above zero.
    """

    after: types.ConfigNumber
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigOffer:
    """A configuration, or the delta that leads to it.

    :param number: number of the resulting configuration.
    :param payload: encoded by the configuration modules.
    :param nonce: nonce of the query that it answers, `UNSOLICITED` if it
        answers none.
    """

    number: types.ConfigNumber
    payload: bytes
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkWanted:
    """A node asks its peer for a chunk of accounts.

    :param index: index of the chunk.
    :param digest: content hash of the chunk.
    """

    index: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkOffer:
    """A chunk of accounts.

    :param index: index of the chunk.
    :param payload: content of the chunk, empty if the sender lacks it.
    """

    index: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sidecar asks for a reply, which is ordered with the router's frames.

    :param nonce: serial number of the probe on the connection.
    """

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """Router's reply; frames that follow it were sent after the probe.

    :param nonce: serial number of the probe.
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
    """Envelope of a message.

    :param number: configuration number in force at the sender.
    :param message: the message.
    """

    number: types.ConfigNumber
    message: Message
