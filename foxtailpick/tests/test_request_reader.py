"""Tests of the limits on what a caller sends."""

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.gateway import http1

MAX_HEADER_BYTES = 2_000
MAX_BODY_BYTES = 100_000
LIMITS = model.Limits(
    max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=MAX_BODY_BYTES
)
START = b'POST /a HTTP/1.1\r\n'
CHUNKED = START + b'Transfer-Encoding: chunked\r\n\r\n'


def make_reader():
    return http1.RequestReader(lambda: LIMITS)


def feed_parts(reader, data, size):
    """Feed data in parts of some size; return the complete requests."""
    return [
        req
        for start in range(0, len(data), size)
        for req in reader.feed(data[start : start + size], 0.0)
    ]


@pytest.mark.parametrize('size', [1, 100, 5_000])
@pytest.mark.parametrize(
    'start',
    [
        pytest.param(b'', id='method'),
        pytest.param(b'GET /', id='target'),
        pytest.param(START, id='name'),
        pytest.param(START + b'X-Long: ', id='value'),
        pytest.param(CHUNKED + b'1;', id='chunk-extension'),
        pytest.param(CHUNKED + b'1\r\nx\r\n0\r\nX-Long: ', id='trailer'),
    ],
)
def test_unfinished_part_counts_as_header_bytes(start, size):
    """The parser keeps what it received of it."""
    reader = make_reader()
    feed_parts(reader, start, size)
    data = b'y' * (MAX_HEADER_BYTES + 10_000)
    with pytest.raises(http1.RequestRejected) as caught:
        feed_parts(reader, data, size)
    # The parser itself rejects an unknown method.
    assert caught.value.status == (431 if start else 400)


@pytest.mark.parametrize('size', [1, 7, 100_000])
def test_head_at_the_limit_is_accepted(size):
    """How it is cut does not matter."""
    used = len(b'/a') + len(b'X-Long') + 4
    value = b'y' * (MAX_HEADER_BYTES - used)
    data = START + b'X-Long: ' + value + b'\r\n\r\n'
    data = data.replace(b'POST', b'GET')
    (req,) = feed_parts(make_reader(), data, size)
    assert req.headers == [(b'x-long', value)]


@pytest.mark.parametrize('size', [1, 1_000, 65_536])
def test_long_bodies_are_no_header_bytes(size):
    """Their chunks, and requests that follow, are read as before."""
    body = b'x' * 30_000
    chunks = http1.format_chunk(body[:10]) + http1.format_chunk(body[10:])
    data = (CHUNKED + chunks + http1.LAST_CHUNK) * 2
    received = feed_parts(make_reader(), data, size)
    assert [req.body for req in received] == [body, body]


@pytest.mark.parametrize('line', [b'\r\n', b'\n', b'\r'])
@pytest.mark.parametrize('size', [2, 5_000])
def test_empty_lines_without_end_are_rejected(line, size):
    """They are skipped before a request, up to the limit of a head."""
    reader = make_reader()
    few = line * (MAX_HEADER_BYTES // len(line) // 2)
    (req,) = feed_parts(reader, few + b'GET / HTTP/1.1\r\n\r\n', size)
    assert req.target == b'/'
    with pytest.raises(http1.RequestRejected) as caught:
        feed_parts(reader, line * (MAX_HEADER_BYTES + 5_000), size)
    assert caught.value.status == 400
