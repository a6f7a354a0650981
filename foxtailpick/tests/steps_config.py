"""Steps for configuration patches and their results."""

import pytest_bdd as bdd
import trio

from foxtailpick.tests import scenario_harness
from foxtailpick.tests import steps_fleet

PATCH_OUTDATED = 'FTP-303'
MODEL_PATCH = '[model malli]\nversion = 2'


@bdd.given('the store loses the reply to its next write')
@bdd.when('the store loses the reply to its next write')
def lose_reply(harness):
    harness.fleet.store.faults.lost_replies = 1


def get_newest_number(harness):
    """Return the highest configuration number in force at any node."""
    return max(harness.list_config_numbers().values())


@bdd.then(
    bdd.parsers.parse(
        'the new configuration is in force at every node within {limit:d} s'
    )
)
def check_in_force(harness, limit):
    number = harness.context['number']

    async def wait():
        with trio.fail_after(limit):
            await scenario_harness.wait_until(
                lambda: set(harness.list_config_numbers().values()) == {number}
            )

    harness.run(wait)


@bdd.when('two operators submit patches based on the same configuration')
def submit_concurrently(harness):
    base = get_newest_number(harness)
    answers = harness.context['race_answers'] = []

    async def submit(router):
        text = scenario_harness.make_patch(base, f'race-{router}', MODEL_PATCH)
        answers.append(await harness.submit(router, text))

    async def submit_both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, 'r1')
            nursery.start_soon(submit, 'r2')

    harness.run(submit_both)
    harness.context['base'] = base


@bdd.then('one is accepted and the other is rejected as outdated')
def check_race(harness):
    answers = sorted(
        harness.context['race_answers'], key=lambda item: item['outcome']
    )
    outcomes = [item['outcome'] for item in answers]
    assert outcomes == ['accepted', 'rejected'], answers
    assert answers[1]['code'] == PATCH_OUTDATED
    assert answers[0]['number'] == harness.context['base'] + 1


@bdd.then('the accepted patch is in force everywhere')
def check_accepted(harness):
    harness.context['number'] = harness.context['base'] + 1
    check_in_force(harness, 13)


@bdd.when(bdd.parsers.parse('an operator submits a patch through {router}'))
def submit_first(harness, router):
    base = harness.context['base'] = get_newest_number(harness)
    text = scenario_harness.make_patch(base, 'lost', MODEL_PATCH)
    harness.context['text'] = text
    harness.context['first'] = harness.run(harness.submit, router, text)


@bdd.when(
    bdd.parsers.parse(
        'the operator submits the same patch again through {router}'
    )
)
def submit_again(harness, router):
    text = harness.context['text']
    harness.context['again'] = harness.run(harness.submit, router, text)


@bdd.then('the repeated patch is accepted with the next number')
def check_repeated_patch(harness):
    first, again = harness.context['first'], harness.context['again']
    assert first['outcome'] in ('accepted', 'unknown'), first
    assert again['outcome'] == 'accepted', again
    assert again['number'] == harness.context['base'] + 1


@bdd.then('the configuration number has increased by one')
def check_number(harness):
    harness.context['number'] = harness.context['base'] + 1
    check_in_force(harness, 13)


@bdd.when(bdd.parsers.parse('the sidecar of {endpoint} is replaced'))
def replace_sidecar(harness, endpoint):
    harness.run(harness.fleet.kill, endpoint)
    harness.run(harness.fleet.start_sidecar, endpoint)


@bdd.when(
    bdd.parsers.parse(
        'operators change the agreed split so that guide gets {share:f} of '
        'the cost'
    )
)
def change_split(harness, share):
    items = (
        f'[partner wardens]\nshare = {share}\n'
        f'[partner outfitters]\nshare = {1 - share:.6f}'
    )
    steps_fleet.apply_patch(harness, 'r1', 'split', items)
