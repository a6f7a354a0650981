"""Steps for the deployment, its failure domains and its traffic."""

import functools
import threading
import time

import pytest
import pytest_bdd as bdd
import trio

from foxtailpick.adapters import base
from foxtailpick.sidecar import daemon as sidecar_daemon
from foxtailpick.standins import network as network_lib
from foxtailpick.tests import stage as stage_lib

CHAT_TOKENS = 20


@pytest.fixture
def stage(monitor):
    """Yield a harness whose monitor raises on an invariant violation."""
    with stage_lib.Stage(monitor) as stage:
        yield stage
    assert not monitor.violated


@bdd.given(
    bdd.parsers.parse(
        'a fleet of {models:d} model and {plain:d} booking endpoints'
    )
)
def open_fleet(stage, models, plain):
    stage.open()
    stage.run(stage.start_endpoints, models, plain)


@bdd.given('routers r1 and r2')
def start_routers(stage):
    stage.run(stage.start_router, 'r1')
    stage.run(stage.start_router, 'r2')


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
def start_traffic(stage, count, account, router):
    for index in range(count):
        stage.spawn(stage.chat_on, router, account, index, CHAT_TOKENS)


@bdd.given(bdd.parsers.parse('a wait of {seconds:d} s'))
@bdd.when(bdd.parsers.parse('a wait of {seconds:d} s'))
def let_time_pass(stage, seconds):
    stage.run(trio.sleep, seconds)


def patch(stage, router, name, items):
    """Submit a patch based on the newest number and assert acceptance."""

    async def submit():
        number = max(stage.list_numbers().values())
        text = stage_lib.make_patch(number, f'{name}-{number}', items)
        answer = await stage.submit(router, text)
        assert answer['outcome'] == 'accepted', answer
        return answer['number']

    return stage.run(submit)


@bdd.when(
    bdd.parsers.parse(
        'operators take {domain} out of service through {router}'
    )
)
def take_domain_out(stage, domain, router):
    _set_domain(stage, domain, router, 'out-of-service')


@bdd.when(
    bdd.parsers.parse('operators return {domain} to service through {router}')
)
def bring_domain_back(stage, domain, router):
    _set_domain(stage, domain, router, 'in-service')


def _set_domain(stage, domain, router, state):
    items = f'[domain {domain}]\nregion = pohjola\nstate = {state}'
    stage.notes['number'] = patch(stage, router, state, items)


@bdd.when('the store goes down')
def take_store_down(stage):
    stage.fleet.store.faults.is_down = True


@bdd.when('the store comes back up')
def bring_store_up(stage):
    stage.fleet.store.faults.is_down = False


@bdd.given(
    bdd.parsers.parse('a router {router} with its own connection to the store')
)
def start_router_behind(stage, router):
    async def start():
        fleet = stage.fleet
        true_url = fleet.store_url
        way = network_lib.Network(true_url.removeprefix('http://'))
        await stage.nursery.start(way.serve)
        stage.notes[router] = way
        fleet.store_url = f'http://{way.address}'
        await stage.start_router(router)
        fleet.store_url = true_url

    stage.run(start)


@bdd.when(bdd.parsers.parse('{router} is cut off from the store'))
def cut_off(stage, router):
    stage.notes[router].is_cut = True
    stage.notes[router].silence_open()


@bdd.given(
    bdd.parsers.parse(
        'the sidecar of {endpoint} runs in a process that can be paused'
    )
)
def make_pausable(stage, endpoint):
    stage.run(stage.fleet.kill, endpoint)
    started = threading.Event()
    found = {}
    run = functools.partial(_run_alone, stage, endpoint, found, started)
    thread = threading.Thread(target=trio.run, args=(run,), daemon=True)
    thread.start()
    assert started.wait(stage_lib.GUARD_S)

    def close():
        found['token'].run_sync_soon(found['scope'].cancel)
        thread.join(stage_lib.GUARD_S)

    stage.closers.append(close)
    stage.notes['alone'] = found
    stage.run(_list_member, stage, endpoint, found['sidecar'])


async def _run_alone(stage, endpoint, found, started):
    fleet = stage.fleet
    cfg = fleet.make_sidecar_settings(endpoint)
    with trio.CancelScope() as scope:
        async with sidecar_daemon.open_sidecar(cfg, stage.monitor) as one:
            found['sidecar'] = one
            found['scope'] = scope
            found['token'] = trio.lowlevel.current_trio_token()
            started.set()
            await trio.sleep_forever()


async def _list_member(stage, endpoint, sidecar):
    fleet = stage.fleet
    fleet.networks[endpoint].target = sidecar.address
    fleet.members.put(
        base.Member(
            endpoint=endpoint,
            incarnation=sidecar.incarnation,
            address=fleet.networks[endpoint].address,
            region=stage_lib.REGION,
            domain=stage_lib.DOMAINS[int(endpoint[1:]) % 2],
            service=stage_lib.MODEL_SERVICE,
        )
    )
    before = fleet.engines[endpoint].runs.total()
    await stage_lib.wait_until(
        lambda: fleet.engines[endpoint].runs.total() > before
    )


@bdd.when(
    bdd.parsers.parse('the sidecar of {endpoint} is paused for {seconds:d} s')
)
def pause(stage, endpoint, seconds):
    # Blocks the trio loop of the sidecar, so none of its tasks runs.
    stage.notes['alone']['token'].run_sync_soon(time.sleep, seconds)


@bdd.then(bdd.parsers.parse('no run starts in {domain} for {seconds:d} s'))
def check_no_work(stage, domain, seconds):
    before = stage.count_runs_in(domain)
    answered = len(stage.traffic.answers)
    stage.run(trio.sleep, seconds)
    assert stage.count_runs_in(domain) == before
    assert len(stage.traffic.answers) > answered


@bdd.then(bdd.parsers.parse('runs start again in {domain}'))
def check_work(stage, domain):
    before = stage.count_runs_in(domain)
    stage.run(
        stage_lib.wait_until, lambda: stage.count_runs_in(domain) > before
    )


@bdd.then('every chat received its complete answer')
def check_all_whole(stage):
    stage.traffic.is_stopped = True
    assert stage.traffic.lost == []
    assert stage.traffic.answers
    for request, (answer, tokens) in list(stage.traffic.answers.items()):
        stage_lib.assert_whole(answer, request, tokens)
