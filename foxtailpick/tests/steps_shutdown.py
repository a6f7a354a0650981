"""Steps for the graceful shutdown of routers and sidecars."""

import dataclasses

import httpcore
import pytest_bdd as bdd
import trio

from foxtailpick.tests import steps_chats

HTTP_UNAVAILABLE = 503


@bdd.given(bdd.parsers.parse('a shutdown limit of {limit:d} ms'))
def bound_shutdown(stage, limit):
    stage.limits = dataclasses.replace(stage.limits, shutdown=limit)


@bdd.when('the sidecar of the booking is asked to shut down')
def stop_booking_sidecar(stage):
    stop(stage, stage.notes['runner'])


@bdd.when(
    bdd.parsers.re(
        r'the sidecar of chat (?P<request>\w+) is asked to shut down'
    )
)
def stop_chat_sidecar(stage, request):
    stop(stage, steps_chats.find_runner(stage, request))


@bdd.when(bdd.parsers.re(r'(?P<router>r\d) is asked to shut down'))
def stop_router(stage, router):
    stop(stage, router)


def stop(stage, name):
    """Shut a process down as SIGTERM does, without waiting for its exit."""
    stage.notes['stopped_url'] = stage.fleet.get(name).admin_url
    ended = stage.notes['ended'] = trio.Event()

    async def stop_and_tell():
        await stage.fleet.stop(name)
        ended.set()

    stage.spawn(stop_and_tell)


@bdd.then('r1 immediately reports that it is not ready')
@bdd.then('it immediately reports that it is not ready')
def check_not_ready(stage):
    async def read_ready():
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                'GET', f'{stage.notes["stopped_url"]}/ready'
            )

    assert stage.run(read_ready).status == HTTP_UNAVAILABLE
    assert not stage.notes['ended'].is_set()


@bdd.then('r1 exits')
@bdd.then('it exits')
def check_ended(stage):
    stage.run(stage.notes['ended'].wait)
