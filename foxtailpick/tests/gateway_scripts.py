"""Scripted behaviour of endpoint stand-ins in tests of the gateway."""

import trio

from foxtailpick.platform.standins import endpoint_server

PROMPT = 'ab:500,cd:10'


async def answer_plainly(exchange):
    await exchange.answer(body=b'hello')


async def stream_three(exchange):
    await exchange.begin_stream()
    await exchange.send_events(1, 3)
    await exchange.end_stream()


async def hang(exchange):
    await trio.sleep_forever()


async def cut(exchange):
    raise endpoint_server.AbortConnectionError


def get_events(first, last):
    return b''.join(
        endpoint_server.format_event(number)
        for number in range(first, last + 1)
    )
