"""Tests of malformed messages between routers."""

import contextlib
import random

import cbor2
import pytest
import trio

from foxtailpick.core import clock
from foxtailpick.core.dispatch import model
from foxtailpick.gateway import daemon
from foxtailpick.gateway import decision_log
from foxtailpick.gateway import peers
from foxtailpick.gateway import settings
from foxtailpick.tests import gateway_harness

OWN = 'router-1'
PEER = 'router-2'
COUNTS, TOTALS, REDIRECT, PROMPTS, PROMPT_TOTALS = range(2, 7)
LIMITS, LIMIT_TOTALS = range(12, 14)
OVERLOAD, OVERLOAD_TOTALS = range(16, 18)
PACES, PACE_TOTALS, TOKENS, TOKEN_TOTALS = range(18, 22)
HUGE = 10**400


def make_totals(*contents):
    return [TOTALS, PEER, 1, cbor2.dumps(list(contents))]


MALFORMED = [
    b'',
    b'\x00',
    b'\x85',
    b'\xff',
    b'\x9f' * 1_000,
    *map(
        cbor2.dumps,
        [
            7,
            {},
            [],
            [COUNTS],
            [COUNTS, PEER, 1],
            [COUNTS, PEER, 1, {}],
            [COUNTS, PEER, 1, 7, 7],
            [COUNTS, PEER, 1, {'e1': 'many'}, {}],
            [COUNTS, PEER, 1, {'e1': float('nan')}, {}],
            [COUNTS, PEER, 1, {'e1': HUGE}, {}],
            [COUNTS, PEER, 1, {'e1': -1}, {}],
            [COUNTS, PEER, 1, {7: 1}, {}],
            [COUNTS, PEER, 1, {}, {'e1': 1}],
            [COUNTS, PEER, 1, {}, {'e1': [1.0]}],
            [COUNTS, PEER, 1, {}, {'e1': ['few', 1.0]}],
            [COUNTS, PEER, 1, {}, {'e1': [float('inf'), 1.0]}],
            [COUNTS, PEER, 'first', {}, {}],
            [COUNTS, [PEER], 1, {}, {}],
            [TOTALS, PEER, 1],
            [TOTALS, PEER, 1, 7],
            [TOTALS, PEER, 1, b''],
            [TOTALS, PEER, 1, b'\x85'],
            make_totals(),
            make_totals([], []),
            make_totals({}, {}, {}),
            make_totals({'e1': 'many'}, {}),
            make_totals({'e1': HUGE}, {}),
            make_totals({}, {'e1': [1.0, 2.0]}),
            make_totals({}, {'e1': ['a', 'b', 'c']}),
            make_totals({}, {'e1': [-1.0, 1.0, 1]}),
            [REDIRECT, PEER, 1],
            [REDIRECT, PEER, 1, {}],
            [PROMPTS, PEER, 1],
            [PROMPTS, PEER, 1, 7],
            [PROMPTS, PEER, 1, [{'p': [[[1], 2]]}, {}, {}]],
            [PROMPTS, PEER, 1, [{'p': [['e1', HUGE]]}, {}, {}]],
            [PROMPTS, PEER, 1, [{7: []}, {}, {}]],
            [PROMPTS, PEER, 1, [{}, {'p': HUGE}, {}]],
            [PROMPTS, PEER, 1, [{}, {}, {'p': [1, HUGE, None]}]],
            [PROMPTS, PEER, 1, [{}, {}, {'p': [1, 1e300, None]}]],
            [LIMITS, PEER, 1],
            [LIMITS, PEER, 1, 7],
            [LIMITS, PEER, 1, [7]],
            [LIMITS, PEER, 1, [['e1', '1', 2.0, 3, 0.5]]],
            [LIMITS, PEER, 1, [['e1', '1', 'few', 3, 0.5, 1]]],
            [LIMITS, PEER, 1, [['e1', '1', 2.0, -3, 0.5, 1]]],
            [LIMITS, PEER, 1, [['e1', '1', 2.0, HUGE, 0.5, 1]]],
            [LIMITS, PEER, 1, [['e1', '1', float('nan'), 3, 0.5, 1]]],
            [LIMITS, PEER, 1, [['e1', 1, 2.0, 3, 0.5, 1]]],
            [PACES, PEER, 1],
            [PACES, PEER, 1, 7],
            [PACES, PEER, 1, {'e1': [100, 500]}],
            [PACES, PEER, 1, {'e1': [100, 500, HUGE]}],
            [PACE_TOTALS, PEER, 0, {'e1': [100, 500, 0]}],
            [PACE_TOTALS, PEER, 0, b'not CBOR'],
            [PACE_TOTALS, PEER, 0, cbor2.dumps({'e1': [100, -500, 0]})],
            [TOKENS, PEER, 1, 7],
            [TOKENS, PEER, 1, {'e1': -1}, {}],
            [TOKENS, PEER, 1, {'e1': HUGE}, {}],
            [TOKEN_TOTALS, PEER, 0, {'e1': 1}],
            [TOKEN_TOTALS, PEER, 0, b'not CBOR'],
            [TOKEN_TOTALS, PEER, 0, cbor2.dumps([{'e1': 'many'}, {}])],
            [LIMIT_TOTALS, PEER, 0, 7],
            [LIMIT_TOTALS, PEER, 0.5, []],
            [LIMIT_TOTALS, PEER, float('inf'), []],
            [LIMIT_TOTALS, PEER, HUGE, []],
            [LIMIT_TOTALS, PEER, 0, [['e1', '1', 2.0, 3, None, 1]]],
            [LIMIT_TOTALS, PEER, 0, [['e1', '1', 2.0, 3, 0.5, float('inf')]]],
            [OVERLOAD, PEER, 1],
            [OVERLOAD, PEER, 1, 7],
            [OVERLOAD, PEER, 1, {'engine': [{0: HUGE}, {}, 0, 0]}],
            [OVERLOAD_TOTALS, PEER, 1, {'engine': [{}, {'a': -1}, 0, 0]}],
            [OVERLOAD_TOTALS, PEER, 1, {'engine': []}],
            [PROMPT_TOTALS, PEER, 0, 7],
            [PROMPT_TOTALS, PEER, 0, {'p': ['x', None, None]}],
            [PROMPT_TOTALS, PEER, 0, {'p': [1, 'x', None]}],
            [PROMPT_TOTALS, PEER, 0, {'p': [1, None, [1, 2]]}],
            [PROMPT_TOTALS, PEER, 0, {'p': [1, None, ['a', 1, None]]}],
            [PROMPT_TOTALS, PEER, 0, {'p': [1, None, [1, HUGE, None]]}],
            [PROMPT_TOTALS, PEER, 0, {'p': [1, None, [1, 1_000, None]]}],
        ],
    ),
]


@contextlib.asynccontextmanager
async def open_exchange(own_share):
    """Run the exchange of a router; yield it and the sockets of both."""
    now_ms = clock.Clock.from_trio().now
    gw = daemon.make_gateway(
        settings.GatewaySettings(
            OWN, 'north', *[gateway_harness.ANY_PORT] * 5
        ),
        None,
        decision_log.DecisionLog(now_ms, len),
        now_ms,
        random.Random(1),
    )
    gw.state.table.put(gateway_harness.make_endpoint_entry('e1'), 0.0)
    sock = peers.open_socket(gateway_harness.ANY_PORT)
    with peers.open_socket(gateway_harness.ANY_PORT) as peer:
        gw.state.replace_routers(
            model.RouterItem(name, model.RouterEntry(address, share))
            for name, address, share in (
                (OWN, sock.getsockname(), own_share),
                (PEER, peer.getsockname(), 1.0),
            )
        )
        with peers.PeerExchange(gw, sock) as exchange:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.run)
                yield gw, sock, peer
                nursery.cancel_scope.cancel()


def read_latest_number(peer):
    """Return the number of the latest counts that a peer received."""
    number = None
    with contextlib.suppress(BlockingIOError):
        while True:
            data = peer._sock.recv(peers.MAX_DATAGRAM_BYTES)
            _, _, number, *_ = cbor2.loads(data)
    return number


@pytest.mark.parametrize('data', MALFORMED, ids=lambda data: data[:40].hex())
@pytest.mark.parametrize('own_share', [2.0, 0.5])
async def test_malformed_message_changes_nothing(
    data, own_share, autojump_clock
):
    """The router is the hub, or its peer is.

    An exception in a task of the exchange ends the process.
    """
    async with open_exchange(own_share) as (gw, sock, peer):
        await trio.sleep(0.2)
        await peer.sendto(data, sock.getsockname())
        await trio.sleep(0.4)
        endpoint = gw.state.table.get('e1')
        assert endpoint.remote_load == 0
        assert not gw.part_records.quarantines
        assert not gw.request_records.quarantines
        # The next proper message counts.
        good = [COUNTS, PEER, 1, {'e1': 3}, {}]
        if own_share < 1:
            good = make_totals({'e1': 3}, {})
            good[2] = read_latest_number(peer)
        await peer.sendto(cbor2.dumps(good), sock.getsockname())
        await trio.sleep(0.2)
        assert endpoint.remote_load == 3
