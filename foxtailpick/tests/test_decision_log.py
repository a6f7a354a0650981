"""Tests of the non-blocking log and its limits."""

import errno
import json

from loguru import logger
import pytest

from foxtailpick.core import clock
from foxtailpick.gateway import decision_log


@pytest.fixture
def written():
    return []


@pytest.fixture
def log(written):
    manual_clock = clock.ManualClock()

    def write(data):
        written.append(data)
        return len(data)

    log = decision_log.DecisionLog(manual_clock.now, write)
    sink = logger.add(log.append_line, format='{message}')
    yield log
    logger.remove(sink)


def test_lines_are_json_objects(log, written):
    log.emit('placed', request='a1', load=3.5)
    log.flush()
    line = json.loads(b''.join(written))
    assert line == {'ms': 0.0, 'event': 'placed', 'request': 'a1', 'load': 3.5}


def test_lines_of_requests_are_bounded_and_the_rest_counted(log, written):
    for number in range(decision_log.MAX_REQUEST_LINES_PER_S + 50):
        log.emit_request('ended', request=number)
    log.emit('config-applied', version=2)
    log.flush()
    log.flush()
    lines = [json.loads(line) for line in b''.join(written).splitlines()]
    events = [line['event'] for line in lines]
    assert events.count('ended') == decision_log.MAX_REQUEST_LINES_PER_S
    assert 'config-applied' in events
    assert lines[-1] == {'ms': 0.0, 'event': 'log-lines-dropped', 'total': 50}


def test_full_pipe_does_not_block_the_log(written):
    def block(data):
        raise BlockingIOError

    log = decision_log.DecisionLog(clock.ManualClock().now, block)
    line = 'x' * 1_000
    for _ in range(3_000):
        log.append_line(line)
        log.flush()
    assert log.dropped > 1_500


def test_output_that_fails_does_not_end_the_process(written):
    """The reader of standard output is gone, or its disk is full."""
    causes = [BrokenPipeError(), OSError(errno.ENOSPC, 'full')]

    def write(data):
        if causes:
            raise causes.pop()
        written.append(data)
        return len(data)

    log = decision_log.DecisionLog(clock.ManualClock().now, write)
    log.append_line('x')
    for _ in range(3):
        log.flush()
    assert written == [b'x']
