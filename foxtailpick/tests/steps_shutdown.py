"""Steps for the graceful shutdown of routers and sidecars."""

import dataclasses

import httpcore
import pytest_bdd as bdd
import trio

from foxtailpick.tests import steps_chats

HTTP_UNAVAILABLE = 503


@bdd.given(bdd.parsers.parse('a shutdown limit of {limit:d} ms'))
def bound_shutdown(harness, limit):
    harness.limits = dataclasses.replace(harness.limits, shutdown=limit)


@bdd.when('the sidecar of the booking is asked to shut down')
def stop_booking_sidecar(harness):
    stop(harness, harness.notes['runner'])


@bdd.when(
    bdd.parsers.re(
        r'the sidecar of chat (?P<request>\w+) is asked to shut down'
    )
)
def stop_chat_sidecar(harness, request):
    stop(harness, steps_chats.find_runner(harness, request))


@bdd.when(bdd.parsers.re(r'(?P<router>r\d) is asked to shut down'))
def stop_router(harness, router):
    stop(harness, router)


def stop(harness, name):
    """Shut a process down as SIGTERM does, without waiting for its exit."""
    harness.notes['stopped_url'] = harness.fleet.get(name).admin_url
    ended = harness.notes['ended'] = trio.Event()

    async def stop_and_tell():
        await harness.fleet.stop(name)
        ended.set()

    harness.spawn(stop_and_tell)


@bdd.then('r1 immediately reports that it is not ready')
@bdd.then('it immediately reports that it is not ready')
def check_not_ready(harness):
    async def read_ready():
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                'GET', f'{harness.notes["stopped_url"]}/ready'
            )

    assert harness.run(read_ready).status == HTTP_UNAVAILABLE
    assert not harness.notes['ended'].is_set()


@bdd.then('r1 exits')
@bdd.then('it exits')
def check_ended(harness):
    harness.run(harness.notes['ended'].wait)
