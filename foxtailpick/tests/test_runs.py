"""Tests of the run table."""

import pytest
import trio

from foxtailpick.core import messages
from foxtailpick.sidecar import runs

RETENTION_MS = 100.0
BODY = b'x' * 1_000


@pytest.fixture
def table():
    return runs.RunTable(10_000, RETENTION_MS, 3_500)


def add_run(table, attempt, now_ms=0.0):
    work = messages.OpenCall(
        attempt=attempt,
        request='r',
        account='acc',
        service='svc',
        method='POST',
        path='/',
        key='',
        is_idempotent=True,
        content_type='text/plain',
        deadline_ms=1_000.0,
        body=BODY,
        mean_load=None,
        candidates=(),
    )
    return table.add(work, now_ms)


def end_run(run, now_ms):
    answer = messages.Answer(run.work.attempt, 200, 'text/plain', BODY)
    run.close(answer, now_ms)


def list_kept(table, attempts):
    return [name for name in attempts if table.find(name) is not None]


def test_ended_run_keeps_its_answer_but_not_its_request(table):
    run = add_run(table, 'a')
    run.buffer.append(BODY)
    before = run.held_bytes
    end_run(run, 0.0)
    assert run.held_bytes == before
    assert run.work.body == b''


def test_runs_are_kept_until_they_expire(table):
    for ended_ms, name in enumerate('ab'):
        end_run(add_run(table, name), float(ended_ms))
    table.drop_expired(RETENTION_MS)
    assert list_kept(table, 'ab') == ['a', 'b']
    table.drop_expired(RETENTION_MS + 0.5)
    assert list_kept(table, 'ab') == ['b']


def test_oldest_ended_runs_are_evicted(table):
    waiting = add_run(table, 'w')
    for ended_ms, name in enumerate('abcd'):
        end_run(add_run(table, name), float(ended_ms))
    table.find('a').sender_scope = trio.CancelScope()
    table.drop_expired(5.0)
    assert list_kept(table, 'wabcd') == ['w', 'a', 'd']
    assert waiting.end is None
