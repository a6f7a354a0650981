"""Steps about single chats, endpoints that leave and routers that stop."""

import pytest_bdd as bdd
import trio

from foxtailpick.tests import stage as stage_lib


def find_runner(stage, request):
    """Return the endpoint that ran a request."""
    for name, engine in stage.fleet.engines.items():
        if engine.runs[request]:
            return name
    return None


@bdd.when(
    bdd.parsers.parse(
        'a chat {request} of {tokens:d} tokens begins through {router}'
    )
)
def begin_chat(stage, request, tokens, router):
    stage.spawn(stage.ask, router, request, tokens)
    stage.run(stage_lib.wait_until, lambda: find_runner(stage, request))


@bdd.when(bdd.parsers.parse('the endpoint of {request} is drained'))
def drain(stage, request):
    name = find_runner(stage, request)
    stage.notes['drained'] = name
    _post_to_sidecar(stage, name, 'drain')


@bdd.when('the drained endpoint is opened again')
def undrain(stage):
    _post_to_sidecar(stage, stage.notes['drained'], 'undrain')


def _post_to_sidecar(stage, name, action):
    url = stage.fleet.get(name).admin_url
    stage.run(stage_lib.post, f'{url}/v1/{action}')


@bdd.then(
    bdd.parsers.parse('the drained endpoint begins no work for {seconds:d} s')
)
def check_drained(stage, seconds):
    engine = stage.fleet.engines[stage.notes['drained']]
    before = engine.runs.total()
    stage.run(trio.sleep, seconds)
    assert engine.runs.total() == before


@bdd.then('it begins work again')
def check_undrained(stage):
    engine = stage.fleet.engines[stage.notes['drained']]
    before = engine.runs.total()
    stage.run(stage_lib.wait_until, lambda: engine.runs.total() > before)


@bdd.then(
    bdd.parsers.parse(
        'chat {request} is answered whole with {tokens:d} tokens in one run'
    )
)
def check_whole_in_one_run(stage, request, tokens):
    check_whole(stage, request, tokens)
    assert stage.count_runs_of(request) == 1


@bdd.then(
    bdd.parsers.parse(
        'chat {request} is answered whole with {tokens:d} tokens'
    )
)
def check_whole(stage, request, tokens):
    stage.run(stage_lib.wait_until, lambda: request in stage.answers)
    stage_lib.assert_whole(stage.answers[request], request, tokens)
