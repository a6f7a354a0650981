"""Tests of the estimated work of requests."""

import pytest

from foxtailpick.core.dispatch import request_work
from foxtailpick.tests import gateway_harness


@pytest.mark.parametrize(
    ('prompt_tokens', 'output_tokens', 'cost', 'memory_tokens'),
    [
        (11_812, 380, 15_613, 12_192),
        (829, 290, 3_730, 1_119),
        (0, 0, 1, 0),
    ],
)
def test_long_prompt_is_more_work_than_a_short_one(
    prompt_tokens, output_tokens, cost, memory_tokens
):
    work = request_work.estimate_work(prompt_tokens, output_tokens)
    assert work == request_work.Work(cost, memory_tokens, prompt_tokens)


async def test_request_in_flight_has_its_work():
    works = []

    async def answer(exchange):
        (attempt,) = harness.gw.attempts
        works.append(attempt.job.work)
        await exchange.answer()

    async with gateway_harness.open_harness() as harness:
        harness.add_endpoint('p1', 'plain', answer)
        await harness.until_known('p1')
        await harness.ask('/safe/x', X_Token_Count='2000,50')
    assert works == [request_work.estimate_work(2_000, 50)]
