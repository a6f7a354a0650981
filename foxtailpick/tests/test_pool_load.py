"""Tests of the load bound of an endpoint against its pool."""

import dataclasses
import random

import pytest
import trio

from foxtailpick.adapters import base
from foxtailpick.core import load_gossip
from foxtailpick.core import mean_estimate
from foxtailpick.core import messages
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.sidecar import gossip
from foxtailpick.sidecar import pool_load

SETTINGS = """
[node]
id = ep-0
region = r
failure_domain = d
[listen]
host = 127.0.0.1
port = 0
[store]
urls = http://127.0.0.1:1
[membership]
url = http://127.0.0.1:1
[limits]
[endpoint]
service = svc
kind = model
url = http://127.0.0.1:1
models = m
"""
OPEN_CHAT = messages.OpenChat(
    attempt='a',
    request='r',
    account='acc',
    chat='chat',
    model='m',
    priority=types.Priority.NORMAL,
    deadline_ms=1_000.0,
    prompt_tokens=200,
    max_tokens=300,
    mean_load=None,
    resume_from=0,
    candidates=(),
    body=b'',
)


@pytest.fixture
def pool(tmp_path, monitor):
    path = tmp_path / 'sidecar.ini'
    path.write_text(SETTINGS)
    cfg = settings.SidecarSettings.from_file(path)
    pool = pool_load.PoolLoad(cfg, monitor, random.Random(1))
    members = [
        base.Member(f'ep-{i}', 'inc', '127.0.0.1:1', 'r', 'd', 'svc')
        for i in range(10)
    ]
    pool.update_members(members)
    return pool


def send_report(pool, load):
    sample = mean_estimate.LoadSample('ep-1', load, 1.0, 0.0)
    report = mean_estimate.PeerLoadReport(sample)
    pool.process_datagram(load_gossip.encode_report(report), 0.0)


@pytest.mark.parametrize(
    ('load', 'limit', 'is_counted'),
    [
        (0.0, 1, True),
        (4_000.0, 1, True),
        (40_000.0, 2, False),
        (40_000.0, 96, True),
    ],
)
def test_endpoint_limited_by_slow_start_is_not_counted(
    pool, load, limit, is_counted
):
    send_report(pool, load)
    assert pool.can_carry_mean(limit) == is_counted


def test_only_a_counted_endpoint_reports_its_load(pool):
    assert pool.prepare_report(False, 0.0) == (b'', [])
    data, addresses = pool.prepare_report(True, 0.0)
    assert data
    assert len(addresses) == load_gossip.FANOUT


def test_refusal_carries_the_loads_of_the_decision(pool):
    send_report(pool, 0.0)
    with pytest.raises(pool_load.LoadRefusedError) as caught:
        for number in range(100):
            work = dataclasses.replace(OPEN_CHAT, attempt=f'a-{number}')
            pool.admit(work, 0.0)
    admission = caught.value.admission
    assert admission.load_tokens <= admission.limit_tokens
    assert admission.load_tokens == pool.load


def test_malformed_datagram_is_dropped(pool):
    send_report(pool, 5_000.0)
    mean_before = pool.mean
    pool.process_datagram(b'\xff', 1.0)
    assert pool.mean == mean_before


def test_fall_of_the_load_is_announced(pool):
    falls = []
    pool.on_fall = lambda: falls.append(pool.load)
    for number in range(4):
        work = dataclasses.replace(OPEN_CHAT, attempt=f'a-{number}')
        pool.admit(work, 0.0)
    pool.prepare_report(True, 0.0)
    assert falls == []
    pool.release('a-0')
    assert falls == [1_500.0]


async def test_fall_of_the_load_is_reported_at_once(pool, autojump_clock):
    gossiper = gossip.Gossip(
        pool, '127.0.0.1', 0, random.Random(1), lambda now_ms: True
    )
    pool.admit(OPEN_CHAT, 0.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gossiper.run)
        # The next regular report is due 200 ms after the first at least.
        await trio.sleep(0.3)
        sent_bytes = gossiper.sent_bytes
        assert sent_bytes
        pool.release(OPEN_CHAT.attempt)
        await trio.sleep(0.05)
        assert gossiper.sent_bytes > sent_bytes
        nursery.cancel_scope.cancel()
