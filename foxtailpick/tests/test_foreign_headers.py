"""Tests of numbers in headers that no arithmetic bears."""

import trio

from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

HUGE = '9' * 400


async def ask_after(harness, count=8):
    """Return the statuses of ordinary requests, some at once."""
    statuses = []

    async def ask(number):
        answer = await harness.ask('/safe/x', X_Attempt_Id=f'b{number}')
        statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, number)
    # The periodic tasks run too.
    await trio.sleep(0.5)
    statuses.append((await harness.ask('/safe/x')).status)
    return statuses


async def test_huge_counts_of_a_caller_affect_only_its_request():
    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', gateway_scripts.answer_plainly)
        await harness.until_known('p1')
        for headers in (
            {'X_Token_Count': f'{HUGE},1'},
            {'X_Token_Count': f'1,{HUGE}'},
            {'X_Token_Count': '-9,-9'},
            {'X_Prefix_Hash': f'ab:{HUGE},cd:1'},
            {'X_Deadline_Ms': HUGE},
            {'X_Deadline_Ms': '1e999'},
            {'X_Deadline_Ms': 'nan'},
            {'X_Deadline_Ms': '-1'},
        ):
            assert (await harness.ask('/safe/x', **headers)).status > 0
        assert set(await ask_after(harness)) == {200}


async def test_huge_load_of_an_endpoint_does_not_end_the_process():
    for load in (f'{HUGE},0,8', f'0,{HUGE},8', f'0,0,{HUGE}', '-9,-9,-9'):

        async def answer(exchange, load=load):
            await exchange.answer(
                headers=[(b'X-Server-Load', load.encode())], body=b'hello'
            )

        async with gateway_harness.open_harness() as harness:
            harness.add_endpoint('p1', 'plain', answer)
            harness.add_endpoint('p2', 'plain', gateway_scripts.answer_plainly)
            await harness.until_known('p1', 'p2')
            assert set(await ask_after(harness)) == {200}
