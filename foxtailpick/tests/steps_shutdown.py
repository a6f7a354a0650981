"""Steps for the graceful shutdown of routers and sidecars."""

import dataclasses

import httpcore
import pytest_bdd as bdd
import trio

from foxtailpick.tests import steps_chats

HTTP_UNAVAILABLE = 503


@bdd.given(bdd.parsers.parse('a shutdown limit of {limit:d} ms'))
def set_shutdown_limit(harness, limit):
    harness.limits = dataclasses.replace(harness.limits, shutdown=limit)


@bdd.when('the sidecar of the booking is asked to shut down')
def stop_booking_sidecar(harness):
    shut_down(harness, harness.context['booking_endpoint'])


@bdd.when(
    bdd.parsers.re(
        r'the sidecar of chat (?P<request>\w+) is asked to shut down'
    )
)
def stop_chat_sidecar(harness, request):
    shut_down(harness, steps_chats.find_serving_endpoint(harness, request))


@bdd.when(bdd.parsers.re(r'(?P<router>r\d) is asked to shut down'))
def stop_router(harness, router):
    shut_down(harness, router)


def shut_down(harness, name):
    """Shut a process down as SIGTERM does, without waiting for its exit."""
    harness.context['stopped_url'] = harness.fleet.get(name).admin_url
    ended = harness.context['ended'] = trio.Event()

    async def stop_and_set_event():
        await harness.fleet.stop(name)
        ended.set()

    harness.spawn(stop_and_set_event)


@bdd.then('r1 immediately reports that it is not ready')
@bdd.then('it immediately reports that it is not ready')
def check_not_ready(harness):
    async def read_ready():
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                'GET', f'{harness.context["stopped_url"]}/ready'
            )

    assert harness.run(read_ready).status == HTTP_UNAVAILABLE
    assert not harness.context['ended'].is_set()


@bdd.then('r1 exits')
@bdd.then('it exits')
def check_ended(harness):
    harness.run(harness.context['ended'].wait)
