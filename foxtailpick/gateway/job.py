"""A request of a caller on its way through a gateway."""

import dataclasses

from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import http1


@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way.

    :param req: the request as received.
    :param meta: what its headers say.
    :param route: its route.
    :param account: its account, if any.
    :param service: the service chosen for it.
    :param priority: its rank.
    :param deadline_ms: when its answer is no longer wanted.
    :param splitter: position in the stream, for one that may move.
    :param prefix: id of the prompt part to return to, if any.
    :param tried: endpoints that it was tried at.
    :param sent: endpoints that it was sent to and that were there.
    :param not_there: endpoints that were not at their address.
    :param arrivals: times that it was sent, to whomever.
    :param use_ratio: its account's use of the service, as a multiple of the
        equal part.
    :param verdict: what is known of its execution.
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
    use_ratio: float = 0.0
    tried: set[types.EndpointId] = dataclasses.field(default_factory=set)
    sent: int = 0
    not_there: int = 0
    arrivals: int = 0
    verdict: verdict_lib.Verdict = verdict_lib.Verdict.NOT_RUN
