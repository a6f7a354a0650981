"""Tests of the bounds on what is kept of the bodies of requests."""

import contextlib

import pytest
import trio
import trio.testing

from foxtailpick.core import errors
from foxtailpick.node import request_bodies

LIMIT_BYTES = 100
HTTP_SCOPE = {'type': 'http'}


def add_body(stack, budget, size, is_complete=False):
    """Open a body of a size."""
    body = stack.enter_context(budget.open_body())
    body.is_complete = is_complete
    budget.add(body, size)
    return body


@pytest.fixture
def budget():
    """Return a budget of `LIMIT_BYTES`."""
    return request_bodies.BodyBudget(LIMIT_BYTES)


@pytest.fixture
def stack():
    """Return a stack that closes bodies at the end of a test."""
    with contextlib.ExitStack() as opened:
        yield opened


def test_oldest_incomplete_body_gives_way(budget, stack):
    complete = add_body(stack, budget, 40, is_complete=True)
    oldest = add_body(stack, budget, 40)
    newest = add_body(stack, budget, 40)
    refused = [body.is_refused for body in (complete, oldest, newest)]
    assert refused == [False, True, False]
    assert budget.held_bytes == 80


def test_request_is_refused_if_all_others_are_at_work(budget, stack):
    complete = add_body(stack, budget, 90, is_complete=True)
    newest = add_body(stack, budget, 40, is_complete=True)
    assert (complete.is_refused, newest.is_refused) == (False, True)
    assert budget.held_bytes == 90


def test_budget_is_free_after_the_requests(budget):
    for _ in range(3):
        with budget.open_body() as body:
            budget.add(body, 90)
            assert not body.is_refused
    assert budget.held_bytes == 0


def test_waiting_request_is_refused(budget):
    """A request that waits for its next part ends as soon as it is refused."""
    refusals = []

    async def app(scope, receive, send):
        try:
            while (await receive()).get('more_body', False):
                pass
        except errors.RequestError as exc:
            refusals.append(exc)

    async def main():
        served = request_bodies.limit_bodies(app, budget)
        first_send, first_receive = trio.open_memory_channel(10)
        part = {'type': 'http.request', 'body': bytes(60), 'more_body': True}
        await first_send.send(part)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    served, HTTP_SCOPE, first_receive.receive, None
                )
                await trio.testing.wait_all_tasks_blocked()
                whole = {'type': 'http.request', 'body': bytes(60)}

                async def receive_whole():
                    return whole

                await served(HTTP_SCOPE, receive_whole, None)

    trio.run(main)
    assert [exc.code for exc in refusals] == [errors.ErrorCode.OVERLOADED]
    assert refusals[0].retry_after_ms
    assert budget.held_bytes == 0
