"""Load samples that the sidecars of a pool send each other.

Every half second a sidecar sends its own load and the samples it heard
first-hand a moment ago to a few peers, drawn uniformly from the member
list. A sample is relayed once: second-hand samples are not sent on.
"""

import random
import typing

import cbor2
import xxhash

from foxtailpick.core import errors
from foxtailpick.core import mean_estimate
from foxtailpick.core import types

PERIOD_MS = 500.0
FANOUT = 3
MAX_RELAYED = 8
RELAY_LIFE_MS = 1_000.0

_FIELDS = 3


def draw_peers(
    peers: typing.Sequence[types.EndpointId],
    rng: random.Random,
    fanout: int = FANOUT,
) -> list[types.EndpointId]:
    """Draw the peers of one round.

    :param peers: the other endpoints of the pool.
    :param rng: source of random numbers.
    :param fanout: how many to draw.
    """
    return rng.sample(peers, min(fanout, len(peers)))


class GossipState:
    """What a sidecar heard first-hand and may relay."""

    def __init__(self) -> None:
        self._heard: dict[types.EndpointId, mean_estimate.LoadSample] = {}

    def compose(
        self, own: mean_estimate.LoadSample, now_ms: float
    ) -> list[mean_estimate.LoadSample]:
        """Return the samples to send, the own one first.

        :param own: the own load.
        :param now_ms: the current time.
        """
        relayed = []
        for sample in reversed(self._heard.values()):
            is_fresh = now_ms - sample.at_ms <= RELAY_LIFE_MS
            if not is_fresh or len(relayed) == MAX_RELAYED:
                break
            relayed.append(sample)
        return [own, *relayed]

    def accept(
        self,
        samples: typing.Sequence[mean_estimate.LoadSample],
        mean: mean_estimate.MeanEstimate,
        now_ms: float,
    ) -> None:
        """Take over a message of a peer.

        :param samples: its samples, that of the sender first.
        :param mean: the estimate to feed.
        :param now_ms: the current time.
        """
        sender = samples[0]
        self._heard.pop(sender.endpoint, None)
        self._heard[sender.endpoint] = sender
        while len(self._heard) > MAX_RELAYED:
            del self._heard[next(iter(self._heard))]
        mean.observe(samples, now_ms)


def encode_samples(
    samples: typing.Sequence[mean_estimate.LoadSample], now_ms: float
) -> bytes:
    """Encode a message: a name of four bytes, a load and an age a sample.

    :param samples: the samples.
    :param now_ms: the current time; ages are sent, clocks may differ.
    """
    flat: list[int] = []
    for sample in samples:
        age_ms = max(0.0, now_ms - sample.at_ms)
        name = hash_endpoint(sample.endpoint)
        flat.extend((name, round(sample.load_tokens), round(age_ms)))
    return cbor2.dumps(flat)


def decode_samples(
    frame: bytes,
    members: typing.Mapping[int, tuple[types.EndpointId, float]],
    now_ms: float,
) -> list[mean_estimate.LoadSample]:
    """Decode a message; samples of unknown endpoints are left out.

    :param frame: the bytes that came.
    :param members: endpoint and capacity by `hash_endpoint`.
    :param now_ms: the current time.
    :raises errors.LinkError: if the frame is malformed.
    """
    try:
        flat = cbor2.loads(frame)
        rows = list(zip(*[iter(flat)] * _FIELDS, strict=True))
        known = [row for row in rows if row[0] in members]
        return [
            mean_estimate.LoadSample(
                *(members[name][0], float(load), members[name][1]),
                now_ms - age_ms,
            )
            for name, load, age_ms in known
        ]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise errors.LinkError(
            errors.ErrorCode.FRAME_MALFORMED,
            f'expected triples of name, load and age, got {frame[:32]!r}; '
            f'the frame is dropped',
        ) from exc


def hash_endpoint(endpoint: types.EndpointId) -> int:
    """Return the four-byte name of an endpoint in messages.

    :param endpoint: the endpoint.
    """
    return xxhash.xxh32_intdigest(endpoint.encode())
