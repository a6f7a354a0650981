"""Where the store keeps what routers read and write."""

import dataclasses
import typing

from foxtailpick.adapters import base
from foxtailpick.core.dispatch import model
from foxtailpick.core import types

Decode = typing.Callable[
    [str, bytes | None, types.Revision], model.Item | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLayout:
    """Where the store keeps what a router reads.

    :param decode: decodes an item of the store.
    :param operator_prefix: key prefix of what the operators write.
    :param endpoint_prefix: key prefix of the endpoints' entries.
    :param router_prefix: key prefix of the routers' entries.
    :param rollout_prefix: key prefix of the records of roll-outs.
    :param make_order_key: returns the key of the order to roll out a service.
    :param encode_rollout: returns the writes that set a service's record and
        its status for the operators.
    :param departure_prefix: key prefix of the departures that endpoints
        announced.
    :param encode_departure: returns the write that keeps a departure.
    :param stream_prefix: key prefix of what routers write of streams.
    :param make_versions_key: returns the key of a service's versions.
    :param encode_versions: returns the write that sets them.
    :param encode_begun: returns the write that sets a part of the streams
        that began through a router.
    """

    decode: Decode
    operator_prefix: str
    endpoint_prefix: str
    router_prefix: str
    rollout_prefix: str
    make_order_key: typing.Callable[[types.ServiceId], str]
    encode_rollout: typing.Callable[
        [types.ServiceId, model.RolloutRecord], list[base.Put]
    ]
    departure_prefix: str
    encode_departure: typing.Callable[
        [model.EndpointIncarnation, types.LeaseId], base.Put
    ]
    stream_prefix: str
    make_versions_key: typing.Callable[[types.ServiceId], str]
    encode_versions: typing.Callable[
        [types.ServiceId, frozenset[types.Version], types.Era | None],
        base.Put,
    ]
    encode_begun: typing.Callable[
        [types.RouterId, str, model.Begun, types.LeaseId], base.Put
    ]
