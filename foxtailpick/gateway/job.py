"""State of a caller's request while the gateway processes it."""

import dataclasses

from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import request_work
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of an endpoint."""

    status: int
    meta: model.ResponseMeta
    body: exchange.BufferedBody


@dataclasses.dataclass(slots=True)
class Job:
    """A request in progress.

    :param req: the request as received.
    :param meta: its decoded headers.
    :param route: its route.
    :param account: its account, if any.
    :param service: the service selected for it.
    :param priority: its priority, 0 is the most urgent.
    :param deadline_ms: time after which the response is useless.
    :param splitter: position in the stream, for a resumable stream.
    :param prefix: id of the prompt prefix for cache affinity, if any.
    :param work: what it is expected to cost an endpoint.
    :param share_ratio: its account's usage of the service, as a multiple of
        the equal share.
    :param tried: endpoints with a failed attempt.
    :param counted_attempts: attempts that reached an endpoint, which count
        towards the route's limit of attempts.
    :param unreached: attempts that did not reach the endpoint, because it
        was unreachable or its address belongs to another one.
    :param sends: times that it was sent, to any address.
    :param answered_ms: when an endpoint started the response that is
        relayed, None before that.
    :param framing: what marks the end of the last response to it, if any.
    :param is_within_event: whether the last stream received for it ended
        within an event, or has not ended yet and is within one.
    :param is_answer_read: whether a stream was read to its end, which may
        not have reached the caller yet.
    :param error_response: error response of an endpoint to one of the
        latest attempts, relayed unless another one succeeds.
    :param verdict: whether it may have been executed.
    :param stream_version: the only software version at which its stream may
        go on, None before it has begun.
    """

    req: http1.Request
    meta: model.RequestMeta
    route: model.Route
    account: model.Account | None
    service: model.Service
    priority: int
    deadline_ms: float
    splitter: event_stream.EventSplitter | None
    prefix: str | None
    work: request_work.Work
    share_ratio: float = 0.0
    tried: set[types.EndpointId] = dataclasses.field(default_factory=set)
    counted_attempts: int = 0
    unreached: int = 0
    sends: int = 0
    answered_ms: float | None = None
    framing: client_lib.Framing | None = None
    is_within_event: bool = False
    is_answer_read: bool = False
    error_response: BufferedResponse | None = None
    verdict: verdict_lib.Verdict = verdict_lib.Verdict.NOT_RUN
    stream_version: types.Version | None = None
    _signature: crash_quarantine.Signature | None = None

    @property
    def signature(self) -> crash_quarantine.Signature:
        """Hash of the whole request, computed when it is first used."""
        if self._signature is None:
            caller = self.meta.key or ''
            if self.account is not None:
                caller = self.account.name
            self._signature = crash_quarantine.compute_signature(
                self.req.method,
                self.req.get_host(),
                self.req.target,
                caller,
                self.req.body,
            )
        return self._signature

    @property
    def shared_parts(self) -> tuple[types.PartId, ...]:
        """The parts of its prompt but the last, which is its own."""
        return tuple(part.id for part in self.meta.parts[:-1])
