"""Tests of the frame codec."""

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.core import codec
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.core import verdict

FRAMES = [
    messages.Hello(1, 'router-1', 'a'),
    messages.OpenChat(
        'a',
        'r',
        'acc',
        'c',
        'm',
        types.Priority.NORMAL,
        9.5,
        7,
        8,
        None,
        0,
        ('e1',),
        b'{}',
    ),
    messages.Chunks('a', 3, ('x', 'y'), (2**64 - 1, 5), 0.25),
    messages.Failed(
        'a',
        errors.ErrorCode.OVERLOADED,
        verdict.Verdict.NOT_RUN,
        'detail',
        None,
        1.0,
        2.0,
        (),
    ),
    messages.StateNotice(types.EndpointState.READY, 0.0),
]


@pytest.mark.parametrize('message', FRAMES)
def test_round_trip(message):
    frame = messages.Frame(7, message)
    assert codec.decode_frame(codec.encode_frame(frame)) == frame


@pytest.mark.parametrize(
    ('data', 'code'),
    [
        (b'\xff\x00', errors.ErrorCode.FRAME_MALFORMED),
        (cbor2.dumps({}), errors.ErrorCode.FRAME_MALFORMED),
        (cbor2.dumps([99, 1]), errors.ErrorCode.FRAME_TYPE_UNKNOWN),
        (cbor2.dumps([4, 1]), errors.ErrorCode.FRAME_MALFORMED),
        (cbor2.dumps([4, 1, 5]), errors.ErrorCode.FRAME_MALFORMED),
        (cbor2.dumps([4, True, 'a']), errors.ErrorCode.FRAME_MALFORMED),
        (cbor2.dumps([14, 1, 'no', 0.0]), errors.ErrorCode.FRAME_MALFORMED),
        (
            bytes(messages.MAX_FRAME_BYTES + 1),
            errors.ErrorCode.FRAME_TOO_LARGE,
        ),
    ],
)
def test_malformed_frame_raises_its_code(data, code):
    with pytest.raises(errors.LinkError) as caught:
        codec.decode_frame(data)
    assert caught.value.code is code


def test_large_frame_is_not_sent():
    body = bytes(messages.MAX_FRAME_BYTES)
    message = messages.Answer('a', 200, 'text/plain', body)
    with pytest.raises(errors.LinkError) as caught:
        codec.encode_frame(messages.Frame(1, message))
    assert caught.value.code is errors.ErrorCode.FRAME_TOO_LARGE


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_link_errors(data):
    try:
        codec.decode_frame(data)
    except errors.LinkError:
        pass
