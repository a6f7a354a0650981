"""Tests that pausing streams enforces an agreed split without delay."""

import pytest
import trio

from foxtailpick.core import configuration
from foxtailpick.standins import caller
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

ACCOUNTS = {'small': 0.1, 'large': 0.9}
SLOTS = 2
LONG_TOKENS = 600
SHORT_TOKENS = 20
TIMEOUT_S = 60
ENGINE = engine_state.EngineSettings(token_ms=4.0)


def _make_config():
    parts = ['[domain d]\nregion = r\n[model m]\n']
    parts.append('[service s]\nkind = model\nmodels = m\n')
    for name, share in ACCOUNTS.items():
        digest = configuration.digest_credential(f'{name}:x').hex()
        parts.append(f'[partner p-{name}]\nshare = {share}\n')
        parts.append(
            f'[account {name}]\npartner = p-{name}\n'
            f'credential_digest = {digest}\n'
        )
    return configuration.Configuration.from_ini(''.join(parts))


async def _ask(fleet, account, request, tokens, ended):
    async with caller.Caller(fleet.get('r1').url, f'{account}:x') as client:
        headers = caller.make_request_headers(request, request)
        answer = await client.complete_chat('m', 'rules', tokens, headers)
    expected = engine_state.make_tokens(request, tokens)
    assert answer.problem == {}
    assert answer.texts == expected
    assert answer.is_complete
    ended.append(request)


@pytest.mark.parametrize('is_stopped', [False, True])
async def test_stream_above_its_share_is_paused(monitor, is_stopped):
    ended = []
    spec = fleet_lib.EndpointSpec('e', 's', 'd', 'r', ('m',), SLOTS)
    with trio.fail_after(TIMEOUT_S):
        async with fleet_lib.open_fleet(_make_config(), monitor) as fleet:
            await fleet.start_endpoint(spec, ENGINE)
            await fleet.start_router('r1', 'r', 'd')
            engine = fleet.engines['e']
            async with trio.open_nursery() as nursery:
                for index in range(SLOTS):
                    request = f'long-{index}'
                    nursery.start_soon(
                        _ask, fleet, 'small', request, LONG_TOKENS, ended
                    )
                while engine.running < SLOTS:
                    await trio.sleep(0.005)
                nursery.start_soon(
                    _ask, fleet, 'large', 'short', SHORT_TOKENS, ended
                )
                while is_stopped and engine.runs['short'] == 0:
                    await trio.sleep(0.005)
                if is_stopped:
                    await fleet.stop('e')
    assert ended[0] == 'short'
    assert sorted(ended) == ['long-0', 'long-1', 'short']
    runs = [engine.runs[f'long-{index}'] for index in range(SLOTS)]
    assert max(runs) > 1
