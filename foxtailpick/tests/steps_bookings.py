"""Steps for bookings, which run at most once."""

import pytest_bdd as bdd
import trio

from foxtailpick.standins import service
from foxtailpick.tests import scenario_harness

REPEAT_TAG = '/again'
IN_PROGRESS = 'FTP-210'
SENDS_PER_ROUTER = 4


def split_names(names):
    """Return the names in a comma-separated list."""
    return [name.strip() for name in names.split(',')]


@bdd.given('the services lose the next reply')
def lose_reply(harness):
    for state in harness.fleet.services.values():
        state.faults.append(service.Fault.LOST_REPLY)


@bdd.given(bdd.parsers.parse('the services take {delay:d} ms per call'))
def set_delay(harness, delay):
    for state in harness.fleet.services.values():
        state.delay_ms = delay


@bdd.when(bdd.parsers.parse('booking {key} is sent through {router}'))
def send_booking(harness, key, router):
    harness.run(harness.book, router, key)


@bdd.when(bdd.parsers.parse('booking {key} is sent again through {router}'))
def send_booking_again(harness, key, router):
    harness.run(harness.book, router, key, REPEAT_TAG)


@bdd.when(bdd.parsers.parse('bookings {keys} are sent through {router}'))
def send_bookings(harness, keys, router):
    async def book():
        async with trio.open_nursery() as nursery:
            for key in split_names(keys):
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
def send_concurrently(harness, key):
    async def book():
        async with trio.open_nursery() as nursery:
            for index in range(SENDS_PER_ROUTER):
                for router in ('r1', 'r2'):
                    tag = f'/{router}/{index}'
                    nursery.start_soon(harness.book, router, key, tag)

    harness.run(book)


@bdd.when(bdd.parsers.parse('booking {key} starts through {router}'))
def start_booking(harness, key, router):
    harness.spawn(harness.book, router, key)
    harness.run(
        scenario_harness.wait_until, lambda: find_busy_endpoint(harness)
    )
    harness.context['booking_endpoint'] = find_busy_endpoint(harness)


def find_busy_endpoint(harness):
    """Return a booking endpoint whose service is running a call, if any."""
    for name, state in harness.fleet.services.items():
        if state.in_flight:
            return name
    return None


@bdd.when('the sidecar of the booking is killed')
def kill_sidecar(harness):
    harness.run(harness.fleet.kill, harness.context['booking_endpoint'])


@bdd.when('the connections of the booking go silent')
def silence_connections(harness):
    network = harness.fleet.networks[harness.context['booking_endpoint']]
    assert network.silence_open_connections() > 0


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
def check_answers_equal(harness, key):
    assert harness.answers[key] == harness.answers[key + REPEAT_TAG]


@bdd.then(
    bdd.parsers.parse('booking {key} is answered with verdict {verdict}')
)
def check_verdict(harness, key, verdict):
    assert wait_for_answer(harness, key).body.get('verdict') == verdict


@bdd.then(
    bdd.parsers.parse('the repeat of {key} is answered with verdict {verdict}')
)
def check_repeat(harness, key, verdict):
    assert harness.answers[key + REPEAT_TAG].body.get('verdict') == verdict


@bdd.then(
    bdd.parsers.parse(
        'every answer to {key} is the booking or says that it is in progress'
    )
)
def check_concurrent_answers(harness, key):
    answers = list(harness.answers.values())
    assert len(answers) == 2 * SENDS_PER_ROUTER
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
    assert [
        key for key in split_names(keys) if harness.count_runs_of(key)
    ] == []


@bdd.then(bdd.parsers.parse('bookings {keys} are refused as not run'))
def check_refused(harness, keys):
    bodies = [harness.answers[key].body for key in split_names(keys)]
    assert {body.get('verdict') for body in bodies} == {'not-run'}


@bdd.then(
    bdd.parsers.parse(
        'booking {key} eventually succeeds through {router} with one run'
    )
)
def check_eventual_success(harness, key, router):
    async def book_until_confirmed():
        while True:
            await harness.book(router, key, REPEAT_TAG)
            if harness.answers[key + REPEAT_TAG].status == 201:
                return
            await trio.sleep(scenario_harness.REFUSAL_PAUSE_S)

    harness.run(book_until_confirmed)
    assert harness.count_runs_of(key) == 1
