"""Steps for configuration patches and their results."""

import pytest_bdd as bdd
import trio

from foxtailpick.tests import stage as stage_lib
from foxtailpick.tests import steps_fleet

RACED = 'FTP-303'
MODEL_PATCH = '[model malli]\nversion = 2'


@bdd.given('the store loses the reply to its next write')
@bdd.when('the store loses the reply to its next write')
def lose_reply(stage):
    stage.fleet.store.faults.lost_replies = 1


def read_number(stage):
    """Return the highest configuration number in force at any node."""
    return max(stage.list_numbers().values())


@bdd.then(
    bdd.parsers.parse(
        'the new configuration is in force at every node within {limit:d} s'
    )
)
def check_in_force(stage, limit):
    number = stage.notes['number']

    async def wait():
        with trio.fail_after(limit):
            await stage_lib.wait_until(
                lambda: set(stage.list_numbers().values()) == {number}
            )

    stage.run(wait)


@bdd.when('two operators submit patches based on the same configuration')
def race(stage):
    base = read_number(stage)
    answers = stage.notes['raced'] = []

    async def submit(router):
        text = stage_lib.make_patch(base, f'race-{router}', MODEL_PATCH)
        answers.append(await stage.submit(router, text))

    async def submit_both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, 'r1')
            nursery.start_soon(submit, 'r2')

    stage.run(submit_both)
    stage.notes['base'] = base


@bdd.then('one is accepted and the other is rejected as outdated')
def check_race(stage):
    answers = sorted(stage.notes['raced'], key=lambda item: item['outcome'])
    outcomes = [item['outcome'] for item in answers]
    assert outcomes == ['accepted', 'rejected'], answers
    assert answers[1]['code'] == RACED
    assert answers[0]['number'] == stage.notes['base'] + 1


@bdd.then('the accepted patch is in force everywhere')
def check_accepted(stage):
    stage.notes['number'] = stage.notes['base'] + 1
    check_in_force(stage, 13)


@bdd.when(bdd.parsers.parse('an operator submits a patch through {router}'))
def submit_first(stage, router):
    base = stage.notes['base'] = read_number(stage)
    text = stage_lib.make_patch(base, 'lost', MODEL_PATCH)
    stage.notes['text'] = text
    stage.notes['first'] = stage.run(stage.submit, router, text)


@bdd.when(
    bdd.parsers.parse(
        'the operator submits the same patch again through {router}'
    )
)
def submit_again(stage, router):
    text = stage.notes['text']
    stage.notes['again'] = stage.run(stage.submit, router, text)


@bdd.then('the patch is accepted as the next configuration number')
def check_again(stage):
    first, again = stage.notes['first'], stage.notes['again']
    assert first['outcome'] in ('accepted', 'unknown'), first
    assert again['outcome'] == 'accepted', again
    assert again['number'] == stage.notes['base'] + 1


@bdd.then('the configuration number has increased by one')
def check_number(stage):
    stage.notes['number'] = stage.notes['base'] + 1
    check_in_force(stage, 13)


@bdd.when(bdd.parsers.parse('the sidecar of {endpoint} is replaced'))
def replace(stage, endpoint):
    stage.run(stage.fleet.kill, endpoint)
    stage.run(stage.fleet.start_sidecar, endpoint)


@bdd.when(
    bdd.parsers.parse(
        'operators change the agreed split so that guide gets {part:f} of the '
        'cost'
    )
)
def change_split(stage, part):
    items = (
        f'[partner wardens]\nshare = {part}\n'
        f'[partner outfitters]\nshare = {1 - part:.6f}'
    )
    steps_fleet.patch(stage, 'r1', 'split', items)
