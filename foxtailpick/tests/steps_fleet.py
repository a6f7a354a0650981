"""Steps for the deployment, its failure domains and its traffic."""

import functools
import itertools
import threading

import pytest
import pytest_bdd as bdd
import trio

from foxtailpick.adapters import base
from foxtailpick.sidecar import daemon as sidecar_daemon
from foxtailpick.standins import network as network_lib
from foxtailpick.tests import scenario_harness

CHAT_TOKENS = 20
# Above the numbers of the chats that other steps start.
FIRST_EXTRA_CHAT = 1_000
EXTRA_CHAT_INTERVAL_S = 0.05


@pytest.fixture
def harness(monitor):
    """Yield a harness whose monitor raises on an invariant violation."""
    with scenario_harness.ScenarioHarness(monitor) as harness:
        yield harness
    assert not monitor.violated


@bdd.given(
    bdd.parsers.parse(
        'a fleet of {models:d} model and {plain:d} booking endpoints'
    )
)
def open_fleet(harness, models, plain):
    harness.open()
    harness.run(harness.start_endpoints, models, plain)


@bdd.given('routers r1 and r2')
def start_routers(harness):
    harness.run(harness.start_router, 'r1')
    harness.run(harness.start_router, 'r2')


@bdd.given(
    bdd.parsers.parse(
        'account {account} keeps {count:d} chats active through {router}'
    )
)
@bdd.when(
    bdd.parsers.parse(
        'account {account} keeps {count:d} chats active through {router}'
    )
)
def start_traffic(harness, count, account, router):
    for index in range(count):
        harness.spawn(harness.run_chat, router, account, index, CHAT_TOKENS)


@bdd.given(bdd.parsers.parse('a wait of {seconds:d} s'))
@bdd.when(bdd.parsers.parse('a wait of {seconds:d} s'))
def wait(harness, seconds):
    harness.run(trio.sleep, seconds)


def apply_patch(harness, router, name, items):
    """Submit a patch based on the newest number and assert acceptance."""

    async def submit():
        number = max(harness.list_config_numbers().values())
        text = scenario_harness.make_patch(number, f'{name}-{number}', items)
        answer = await harness.submit(router, text)
        assert answer['outcome'] == 'accepted', answer
        return answer['number']

    return harness.run(submit)


@bdd.when(
    bdd.parsers.parse(
        'operators take {domain} out of service through {router}'
    )
)
def take_domain_out(harness, domain, router):
    _set_domain(harness, domain, router, 'out-of-service')


@bdd.when(
    bdd.parsers.parse('operators return {domain} to service through {router}')
)
def return_domain(harness, domain, router):
    _set_domain(harness, domain, router, 'in-service')


def _set_domain(harness, domain, router, state):
    items = f'[domain {domain}]\nregion = pohjola\nstate = {state}'
    harness.context['number'] = apply_patch(harness, router, state, items)


@bdd.when('the store goes down')
def take_store_down(harness):
    harness.fleet.store.faults.is_down = True


@bdd.when('the store comes back up')
def bring_store_up(harness):
    harness.fleet.store.faults.is_down = False


@bdd.given(
    bdd.parsers.parse('a router {router} with its own connection to the store')
)
def start_router_behind_network(harness, router):
    async def start():
        fleet = harness.fleet
        direct_url = fleet.store_url
        network = network_lib.Network(direct_url.removeprefix('http://'))
        await harness.nursery.start(network.serve)
        harness.context[router] = network
        fleet.store_url = f'http://{network.address}'
        await harness.start_router(router)
        fleet.store_url = direct_url

    harness.run(start)


@bdd.when(bdd.parsers.parse('{router} is cut off from the store'))
def cut_off_from_store(harness, router):
    harness.context[router].is_partitioned = True
    harness.context[router].silence_open_connections()


@bdd.given(
    bdd.parsers.parse(
        'the sidecar of {endpoint} runs in a process that can be paused'
    )
)
def make_pausable(harness, endpoint):
    harness.run(harness.fleet.kill, endpoint)
    started = threading.Event()
    handle = {'wake': threading.Event()}
    run = functools.partial(
        _run_in_own_loop, harness, endpoint, handle, started
    )
    thread = threading.Thread(target=trio.run, args=(run,), daemon=True)
    thread.start()
    assert started.wait(scenario_harness.STEP_TIMEOUT_S)

    def close():
        handle['wake'].set()
        handle['token'].run_sync_soon(handle['nursery'].cancel_scope.cancel)
        thread.join(scenario_harness.STEP_TIMEOUT_S)

    harness.cleanups.append(close)
    harness.context['pausable'] = handle
    harness.run(_publish_member, harness, endpoint, handle['sidecar'])


async def _run_in_own_loop(harness, endpoint, handle, started):
    fleet = harness.fleet
    cfg = fleet.make_sidecar_settings(endpoint)
    async with trio.open_nursery() as nursery:
        async with sidecar_daemon.open_sidecar(
            cfg, harness.monitor
        ) as sidecar:
            handle['sidecar'] = sidecar
            handle['nursery'] = nursery
            handle['token'] = trio.lowlevel.current_trio_token()
            started.set()
            await trio.sleep_forever()


async def _publish_member(harness, endpoint, sidecar):
    fleet = harness.fleet
    fleet.networks[endpoint].target = sidecar.address
    fleet.members.put(
        base.Member(
            endpoint=endpoint,
            incarnation=sidecar.incarnation,
            address=fleet.networks[endpoint].address,
            region=scenario_harness.REGION,
            domain=scenario_harness.DOMAINS[int(endpoint[1:]) % 2],
            service=scenario_harness.MODEL_SERVICE,
        )
    )
    before = fleet.engines[endpoint].runs.total()
    await scenario_harness.wait_until(
        lambda: fleet.engines[endpoint].runs.total() > before
    )


@bdd.when(
    bdd.parsers.parse(
        'the sidecar of {endpoint} is paused while chats wait in its queue'
    )
)
def pause_sidecar(harness, endpoint):
    """Pause a sidecar as soon as chats wait in its queue.

    Blocks its trio loop, so none of its tasks runs. More chats are sent until
    some wait.
    """
    handle = harness.context['pausable']
    gate = handle['sidecar'].worker.gate
    is_paused = threading.Event()

    async def block():
        await scenario_harness.wait_until(lambda: gate.queue_length)
        is_paused.set()
        handle['wake'].wait(scenario_harness.STEP_TIMEOUT_S)

    async def send_until_paused():
        for index in itertools.count(FIRST_EXTRA_CHAT):
            await trio.sleep(EXTRA_CHAT_INTERVAL_S)
            if is_paused.is_set():
                return
            harness.nursery.start_soon(
                harness.run_chat, 'r1', 'hiker', index, CHAT_TOKENS
            )

    handle['token'].run_sync_soon(handle['nursery'].start_soon, block)
    harness.run(send_until_paused)
    assert gate.queue_length


@bdd.then(
    bdd.parsers.parse(
        'no run starts in {domain} for {seconds:d} s after the sidecar of '
        '{endpoint} wakes up'
    )
)
def check_no_runs_after_waking(harness, domain, seconds, endpoint):
    _check_no_runs(
        harness, domain, seconds, harness.context['pausable']['wake'].set
    )


@bdd.then(bdd.parsers.parse('no run starts in {domain} for {seconds:d} s'))
def check_no_runs(harness, domain, seconds):
    _check_no_runs(harness, domain, seconds)


def _check_no_runs(harness, domain, seconds, act=lambda: None):
    before = harness.count_runs_in(domain)
    answered = len(harness.traffic.answers)

    async def watch():
        await trio.sleep(seconds)
        # The rest of the fleet serves, however slow the machine is.
        await scenario_harness.wait_until(
            lambda: len(harness.traffic.answers) > answered
        )

    act()
    harness.run(watch)
    assert harness.count_runs_in(domain) == before


@bdd.then(bdd.parsers.parse('runs start again in {domain}'))
def check_runs_resume(harness, domain):
    before = harness.count_runs_in(domain)
    harness.run(
        scenario_harness.wait_until,
        lambda: harness.count_runs_in(domain) > before,
    )


@bdd.then('every chat received its complete answer')
def check_all_complete(harness):
    harness.traffic.is_stopped = True
    assert harness.traffic.lost_requests == []
    assert harness.traffic.answers
    for request, (answer, tokens) in list(harness.traffic.answers.items()):
        scenario_harness.assert_complete(answer, request, tokens)
