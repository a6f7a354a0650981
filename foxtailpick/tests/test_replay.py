"""Tests of the replay buffer and the stream assembler."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import replay

ErrorCode = errors.ErrorCode
ROOM_FOR_TWO_BYTES = 2 * (replay.CHUNK_OVERHEAD_BYTES + 2)
WORDS = [b'w%d' % index for index in range(5)]


def fill(attempt='a', words=WORDS, max_bytes=10_000):
    buffer = replay.ReplayBuffer(attempt, max_bytes)
    for index, word in enumerate(words):
        buffer.append(word, index == len(words) - 1)
    return buffer


def assert_code(code, call):
    with pytest.raises(errors.LinkError) as caught:
        call()
    assert caught.value.code is code


@pytest.mark.parametrize('read', range(6))
@pytest.mark.parametrize('is_check_known', [True, False])
def test_another_reader_resumes_anywhere(monitor, read, is_check_known):
    buffer = fill()
    start = replay.ResumePoint('a')
    first = replay.StreamAssembler(start, monitor)
    received = [
        first.accept(chunk) for chunk in buffer.read_from(start)[:read]
    ]
    point = first.resume_point
    if not is_check_known:
        point = dataclasses.replace(point, check=None)
    second = replay.StreamAssembler(point, monitor)
    received += [second.accept(chunk) for chunk in buffer.read_from(point)]
    assert received == WORDS
    assert second.is_complete or read == len(WORDS)


def test_an_evicted_chunk_is_an_error():
    buffer = fill(max_bytes=ROOM_FOR_TWO_BYTES)
    assert buffer.oldest_number == 3
    assert [c.data for c in buffer.read_from(replay.ResumePoint('a', 3))] == (
        WORDS[3:]
    )
    assert_code(
        ErrorCode.STREAM_GAP,
        lambda: buffer.read_from(replay.ResumePoint('a', 2)),
    )


@pytest.mark.parametrize(
    'point',
    [
        replay.ResumePoint('b', 1),
        replay.ResumePoint('a', 6),
        replay.ResumePoint('a', 2, 1234),
    ],
)
def test_a_position_of_another_stream_is_refused(point):
    buffer = fill()
    assert_code(ErrorCode.CHUNK_FOREIGN, lambda: buffer.read_from(point))


def test_acknowledged_chunks_make_room():
    buffer = fill(words=[], max_bytes=ROOM_FOR_TWO_BYTES)
    for word in WORDS[:2]:
        assert buffer.has_room(len(word))
        buffer.append(word)
    assert not buffer.has_room(2)
    buffer.acknowledge(1)
    buffer.acknowledge(0)
    assert buffer.has_room(2)
    buffer.append(WORDS[2])
    assert not buffer.has_room(2)
    buffer.acknowledge(99)
    assert buffer.has_room(2)


def test_the_assembler_drops_duplicates_and_stops_at_gaps(monitor):
    chunks = fill().read_from(replay.ResumePoint('a'))
    reader = replay.StreamAssembler(replay.ResumePoint('a'), monitor)
    assert reader.accept(chunks[0]) == b'w0'
    assert reader.accept(chunks[0]) is None
    assert_code(ErrorCode.STREAM_GAP, lambda: reader.accept(chunks[2]))
    assert reader.resume_point.number == 1
    assert reader.accept(chunks[1]) == b'w1'


@pytest.mark.parametrize(
    'change',
    [
        {'attempt': 'b'},
        {'data': b'xx'},
        {'is_last': True},
        {'check': 7},
    ],
)
def test_the_assembler_rejects_foreign_chunks(monitor, change):
    chunk = fill().read_from(replay.ResumePoint('a'))[0]
    reader = replay.StreamAssembler(replay.ResumePoint('a'), monitor)
    foreign = dataclasses.replace(chunk, **change)
    assert_code(ErrorCode.CHUNK_FOREIGN, lambda: reader.accept(foreign))
    assert reader.accept(chunk) == b'w0'


@hypothesis.given(strategies.data())
def test_any_mix_of_losses_gives_the_whole_stream(data):
    """Chunks are lost, duplicated and mixed with those of another stream."""
    monitor = invariants.Monitor(is_strict=True)
    own, other = fill(), fill('b', [b'o%d' % index for index in range(5)])
    reader = replay.StreamAssembler(replay.ResumePoint('a'), monitor)
    received = []
    for _ in range(60):
        if reader.is_complete:
            break
        source = data.draw(strategies.sampled_from([own, other]))
        chunks = source.read_from(replay.ResumePoint(source.attempt))
        chunk = data.draw(strategies.sampled_from(chunks))
        try:
            received.append(reader.accept(chunk))
        except errors.LinkError:
            received += map(
                reader.accept, own.read_from(reader.resume_point)[:1]
            )
    assert [word for word in received if word is not None] == (
        WORDS[: reader.resume_point.number]
    )
