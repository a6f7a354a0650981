"""Steps for load: cold engines, shares and the load bound."""

import itertools

import pytest_bdd as bdd
import trio

from foxtailpick.core import load_bound
from foxtailpick.standins import caller as caller_lib
from foxtailpick.tests import scenario_harness
from foxtailpick.tests import steps_chats

# The share audit allows this error. In addition, runs are indivisible, so
# the counts may be off by the batch of the engine at either end.
MAX_SHARE_ERROR = 0.02
MAX_BATCH_RUNS = 16
LONG_PROMPT = 'zone rules ' * 400


@bdd.given(bdd.parsers.parse('engines that take {time:d} ms per token'))
def set_token_time(harness, time):
    harness.engine.token_ms = time


@bdd.given('engines start cold')
def start_all_cold(harness):
    harness.is_warm = False


@bdd.when(bdd.parsers.parse('a cold endpoint {name} is started'))
def start_cold(harness, name):
    harness.is_warm = False
    domain = scenario_harness.DOMAINS[int(name[1:]) % 2]
    harness.run(harness.start_model, name, domain)


@bdd.when(bdd.parsers.parse('the engine of {name} turns cold'))
def make_cold(harness, name):
    harness.fleet.engines[name].go_cold()


@bdd.then(bdd.parsers.parse('{name} starts to serve requests'))
def check_serving(harness, name):
    engine = harness.fleet.engines[name]
    harness.run(scenario_harness.wait_until, lambda: engine.runs.total() > 0)


@bdd.then(bdd.parsers.parse('no engine is overloaded for {seconds:d} s'))
def check_no_overload(harness, seconds):
    harness.run(trio.sleep, seconds)
    overloads = {
        name: engine.overload_count
        for name, engine in harness.fleet.engines.items()
    }
    assert set(overloads.values()) == {0}, overloads


def count_runs(harness, account):
    """Return how many chat runs of an account have started."""
    return sum(
        count
        for engine in harness.fleet.engines.values()
        for request, count in engine.runs.items()
        if request.startswith(account)
    )


@bdd.then(
    bdd.parsers.parse(
        'account {account} gets {share:f} of the next {count:d} runs'
    )
)
def check_share(harness, count, account, share):
    engine = harness.fleet.engines['m0']
    own_runs, total_runs = count_runs(harness, account), engine.runs.total()
    harness.run(
        scenario_harness.wait_until,
        lambda: engine.runs.total() >= total_runs + count,
    )
    own_runs = count_runs(harness, account) - own_runs
    total_runs = engine.runs.total() - total_runs
    slack = MAX_SHARE_ERROR + MAX_BATCH_RUNS / total_runs
    assert abs(own_runs / total_runs - share) <= slack, (own_runs, total_runs)


@bdd.when(
    bdd.parsers.parse(
        '{count:d} requests of one chat with long prompts and {tokens:d} '
        'tokens are sent'
    )
)
def send_same_chat(harness, count, tokens):
    names = harness.context['requests'] = [f'same-{i}' for i in range(count)]
    harness.context['tokens'] = tokens
    harness.prompt = LONG_PROMPT
    headers = caller_lib.make_request_headers('', 'the-same')

    samples = harness.context['samples'] = []

    async def sample():
        while True:
            samples.append(list_loads(harness))
            await trio.sleep(scenario_harness.POLL_S)

    async def send():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sample)
            async with trio.open_nursery() as senders:
                for name in names:
                    sent = {**headers, 'foxtailpick-request': name}
                    senders.start_soon(
                        harness.ask, 'r1', name, tokens, None, sent
                    )
            nursery.cancel_scope.cancel()

    harness.run(send)


def list_loads(harness):
    """Return the outstanding tokens at each model endpoint."""
    return [
        harness.fleet.get(name).worker.gate.pool.load
        for name in harness.fleet.engines
    ]


@bdd.then(
    bdd.parsers.parse(
        'no engine was given more than {multiple:f} times the mean load'
    )
)
def check_load_bound(harness, multiple):
    floor = load_bound.LoadBoundSettings().floor_tokens
    means = [sum(loads) / len(loads) for loads in harness.context['samples']]
    assert max(means) > floor
    # Only increases count: an engine may exceed the bound without new work
    # when the load of the others drops. An increase happened between two
    # samples, so it is compared with the higher mean of the two.
    load_ratios = [
        load / max(sum(before) / len(before), sum(after) / len(after), floor)
        for before, after in itertools.pairwise(harness.context['samples'])
        for old, load in zip(before, after, strict=True)
        if load > old
    ]
    assert max(load_ratios) <= multiple, max(load_ratios)


@bdd.then('each of them is answered completely or refused as not run')
def check_all_answered(harness):
    refused = steps_chats.list_refused(harness)
    complete = [
        name for name in harness.context['requests'] if name not in refused
    ]
    assert complete
    for name in complete:
        scenario_harness.assert_complete(
            harness.answers[name], name, harness.context['tokens']
        )
