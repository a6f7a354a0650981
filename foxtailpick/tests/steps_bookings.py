"""Steps for bookings, which run at most once."""

import pytest_bdd as bdd
import trio

from foxtailpick.standins import service
from foxtailpick.tests import scenario_harness

AGAIN = '/again'
IN_PROGRESS = 'FTP-210'
TIMES = 4


def split(names):
    """Return the names in a comma-separated list."""
    return [name.strip() for name in names.split(',')]


@bdd.given('the services lose the next reply')
def lose_reply(harness):
    for state in harness.fleet.services.values():
        state.faults.append(service.Fault.LOST_REPLY)


@bdd.given(bdd.parsers.parse('the services take {delay:d} ms per call'))
def slow_down(harness, delay):
    for state in harness.fleet.services.values():
        state.delay_ms = delay


@bdd.when(bdd.parsers.parse('booking {key} is sent through {router}'))
def send(harness, key, router):
    harness.run(harness.book, router, key)


@bdd.when(bdd.parsers.parse('booking {key} is sent again through {router}'))
def send_again(harness, key, router):
    harness.run(harness.book, router, key, AGAIN)


@bdd.when(bdd.parsers.parse('bookings {keys} are sent through {router}'))
def send_all(harness, keys, router):
    async def book():
        async with trio.open_nursery() as nursery:
            for key in split(keys):
                nursery.start_soon(harness.book, router, key)

    harness.run(book)


@bdd.when(
    bdd.parsers.parse('booking {key} is sent 4 times through each router')
)
@bdd.when(
    bdd.parsers.parse(
        'booking {key} is sent 4 times through each router at once'
    )
)
def send_crossing(harness, key):
    async def book():
        async with trio.open_nursery() as nursery:
            for index in range(TIMES):
                for router in ('r1', 'r2'):
                    tag = f'/{router}/{index}'
                    nursery.start_soon(harness.book, router, key, tag)

    harness.run(book)


@bdd.when(bdd.parsers.parse('booking {key} starts through {router}'))
def begin(harness, key, router):
    harness.spawn(harness.book, router, key)
    harness.run(scenario_harness.wait_until, lambda: find_busy(harness))
    harness.notes['runner'] = find_busy(harness)


def find_busy(harness):
    """Return a booking endpoint whose service is running a call, if any."""
    for name, state in harness.fleet.services.items():
        if state.in_hand:
            return name
    return None


@bdd.when('the sidecar of the booking is killed')
def kill_sidecar(harness):
    harness.run(harness.fleet.kill, harness.notes['runner'])


@bdd.when('the connections of the booking go silent')
def silence(harness):
    network = harness.fleet.networks[harness.notes['runner']]
    assert network.silence_open() > 0


def wait_for_answer(harness, key):
    """Wait for the answer to a booking and return it."""
    harness.run(scenario_harness.wait_until, lambda: key in harness.answers)
    return harness.answers[key]


@bdd.then(bdd.parsers.parse('booking {key} succeeds with one run'))
def check_success(harness, key):
    answer = wait_for_answer(harness, key)
    assert answer.status == 201, answer
    assert answer.body['key'] == key
    assert harness.count_runs_of(key) == 1


@bdd.then(bdd.parsers.parse('both answers to {key} are the same'))
def check_same(harness, key):
    assert harness.answers[key] == harness.answers[key + AGAIN]


@bdd.then(
    bdd.parsers.parse('booking {key} is answered with verdict {verdict}')
)
def check_verdict(harness, key, verdict):
    assert wait_for_answer(harness, key).body.get('verdict') == verdict


@bdd.then(
    bdd.parsers.parse('the repeat of {key} is answered with verdict {verdict}')
)
def check_repeat(harness, key, verdict):
    assert harness.answers[key + AGAIN].body.get('verdict') == verdict


@bdd.then(
    bdd.parsers.parse(
        'every answer to {key} is the booking or says that it is in progress'
    )
)
def check_crossing(harness, key):
    answers = list(harness.answers.values())
    assert len(answers) == 2 * TIMES
    booked = [item for item in answers if item.status == 201]
    others = [item for item in answers if item.status != 201]
    assert booked
    assert all(item.body == booked[0].body for item in booked)
    assert all(item.body['code'] == IN_PROGRESS for item in others)


@bdd.then(bdd.parsers.parse('booking {key} ran once'))
def check_ran_once(harness, key):
    assert harness.count_runs_of(key) == 1


@bdd.then(bdd.parsers.parse('booking {key} ran at most once'))
def check_at_most_once(harness, key):
    assert harness.count_runs_of(key) <= 1


@bdd.then(bdd.parsers.parse('bookings {keys} never ran'))
@bdd.then(bdd.parsers.parse('booking {keys} never ran'))
def check_never_ran(harness, keys):
    assert [key for key in split(keys) if harness.count_runs_of(key)] == []


@bdd.then(bdd.parsers.parse('bookings {keys} are refused as not run'))
def check_refused(harness, keys):
    bodies = [harness.answers[key].body for key in split(keys)]
    assert {body.get('verdict') for body in bodies} == {'not-run'}


@bdd.then(
    bdd.parsers.parse(
        'booking {key} eventually succeeds through {router} with one run'
    )
)
def check_can_be_made(harness, key, router):
    async def book_until_made():
        while True:
            await harness.book(router, key, AGAIN)
            if harness.answers[key + AGAIN].status == 201:
                return
            await trio.sleep(scenario_harness.REFUSAL_PAUSE_S)

    harness.run(book_until_made)
    assert harness.count_runs_of(key) == 1
