"""Gossip of load reports among the sidecars of a pool.

Four times a second, and when its load has fallen, a sidecar sends a report to
a few peers, sampled uniformly from the member list. Lost reports are not
retransmitted.
"""

import math
import random
import typing

import cbor2
import xxhash

from foxtailpick.core import errors
from foxtailpick.core import mean_estimate
from foxtailpick.core import types

REPORT_INTERVAL_MS = 250.0
# Shortest time between two reports of a load that falls.
MIN_REPORT_INTERVAL_MS = 10.0
FANOUT = 3

# Weights are sent as integers, in hundredths.
_WEIGHT_SCALE = 100.0
_MALFORMED = (cbor2.CBORDecodeError, OverflowError, TypeError, ValueError)


def sample_peers(
    peers: typing.Sequence[types.EndpointId], rng: random.Random
) -> list[types.EndpointId]:
    """Sample the peers of one gossip round.

    :param peers: the other endpoints of the pool.
    :param rng: random source.
    """
    return rng.sample(peers, min(FANOUT, len(peers)))


def encode_report(report: mean_estimate.PeerLoadReport) -> bytes:
    """Encode a report as a four-byte hash of the endpoint and three numbers.

    :param report: the report; its time is not sent, so it must be current.
    """
    return cbor2.dumps(
        [
            hash_endpoint(report.sample.endpoint),
            round(report.sample.load_tokens),
            round(report.received_mean_tokens),
            round(report.received_weight * _WEIGHT_SCALE),
        ]
    )


def decode_report(
    frame: bytes,
    members: typing.Mapping[int, tuple[types.EndpointId, float]],
    now_ms: float,
) -> mean_estimate.PeerLoadReport | None:
    """Decode a report, None if its sender is not in the member list.

    :param frame: the received bytes.
    :param members: endpoint and capacity by `hash_endpoint`.
    :param now_ms: the current time.
    :raises errors.LinkError: if the frame is malformed.
    """
    try:
        endpoint_hash, load, received_mean, weight = cbor2.loads(frame)
        numbers = (float(load), float(received_mean), weight / _WEIGHT_SCALE)
        if not all(0.0 <= number < math.inf for number in numbers):
            raise ValueError('a number is out of range')
        sender = members.get(endpoint_hash)
    except _MALFORMED as exc:
        raise errors.LinkError(
            errors.ErrorCode.FRAME_MALFORMED,
            f'expected a hash and three numbers of at least 0, '
            f'got {frame[:32]!r}; the frame is dropped',
        ) from exc
    if sender is None:
        return None
    sample = mean_estimate.LoadSample(sender[0], numbers[0], sender[1], now_ms)
    return mean_estimate.PeerLoadReport(sample, numbers[1], numbers[2])


def hash_endpoint(endpoint: types.EndpointId) -> int:
    """Return the four-byte hash that identifies an endpoint in reports.

    :param endpoint: the endpoint.
    """
    return xxhash.xxh32_intdigest(endpoint.encode())
