"""Steps for single chats, drained endpoints and killed processes."""

import pytest_bdd as bdd
import trio

from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state
from foxtailpick.tests import stage as stage_lib


def find_runner(stage, request):
    """Return the endpoint that runs or ran a request, if any."""
    for name, engine in stage.fleet.engines.items():
        if engine.runs[request]:
            return name
    return None


@bdd.when(
    bdd.parsers.parse(
        'chat {request} of {tokens:d} tokens starts through {router}'
    )
)
def begin_chat(stage, request, tokens, router):
    stage.spawn(stage.ask, router, request, tokens)
    stage.run(stage_lib.wait_until, lambda: find_runner(stage, request))


@bdd.when(bdd.parsers.parse('the endpoint of chat {request} is drained'))
def drain(stage, request):
    name = find_runner(stage, request)
    stage.notes['drained'] = name
    _post_to_sidecar(stage, name, 'drain')


@bdd.when('the drained endpoint is returned to service')
def undrain(stage):
    _post_to_sidecar(stage, stage.notes['drained'], 'undrain')


def _post_to_sidecar(stage, name, action):
    url = stage.fleet.get(name).admin_url
    stage.run(stage_lib.post, f'{url}/v1/{action}')


@bdd.then(
    bdd.parsers.parse(
        'no run starts at the drained endpoint for {seconds:d} s'
    )
)
def check_drained(stage, seconds):
    engine = stage.fleet.engines[stage.notes['drained']]
    before = engine.runs.total()
    stage.run(trio.sleep, seconds)
    assert engine.runs.total() == before


@bdd.then('it starts to serve requests again')
def check_undrained(stage):
    engine = stage.fleet.engines[stage.notes['drained']]
    before = engine.runs.total()
    stage.run(stage_lib.wait_until, lambda: engine.runs.total() > before)


@bdd.then(
    bdd.parsers.parse(
        'chat {request} receives all {tokens:d} tokens from one run'
    )
)
def check_whole_in_one_run(stage, request, tokens):
    check_whole(stage, request, tokens)
    assert stage.count_runs_of(request) == 1


@bdd.then(bdd.parsers.parse('chat {request} receives all {tokens:d} tokens'))
def check_whole(stage, request, tokens):
    stage.run(stage_lib.wait_until, lambda: request in stage.answers)
    stage_lib.assert_whole(stage.answers[request], request, tokens)


@bdd.when(
    bdd.parsers.re(r'the connections of chat (?P<request>\w+) go silent')
)
def silence(stage, request):
    network = stage.fleet.networks[find_runner(stage, request)]
    assert network.silence_open() > 0


@bdd.when(bdd.parsers.parse('the endpoint of chat {request} is killed'))
def kill_endpoint(stage, request):
    stage.run(stage.fleet.kill_endpoint, find_runner(stage, request))


@bdd.when(
    bdd.parsers.parse(
        'chat {request} of {tokens:d} tokens is cut off after {count:d} '
        'tokens as {router} is killed'
    )
)
def cut_by_death(stage, request, tokens, count, router):
    received = caller_lib.ChatAnswer(0)
    stage.notes['tokens'] = tokens
    stage.answers[request] = received
    stage.spawn(stage.ask_until_lost, router, request, tokens, received)
    stage.run(stage_lib.wait_until, lambda: len(received.texts) >= count)
    stage.run(stage.fleet.kill, router)


@bdd.when(
    bdd.parsers.parse(
        'the caller of chat {request} of {tokens:d} tokens disconnects after '
        '{count:d} tokens'
    )
)
def leave(stage, request, tokens, count):
    _ask_in_part(stage, 'r1', request, tokens, count)
    assert len(stage.answers[request].texts) < tokens


def _ask_in_part(stage, router, request, tokens, count):
    stage.notes['tokens'] = tokens
    stage.run(stage.ask, router, request, tokens, count)


@bdd.when(
    bdd.parsers.parse(
        'the rest of chat {request} is requested through {router}'
    )
)
def ask_for_rest(stage, request, router):
    first = stage.answers[request]
    stage.notes['first'] = first
    stage.run(
        stage.ask,
        router,
        request,
        stage.notes['tokens'],
        None,
        {'last-event-id': first.position},
    )


@bdd.then(
    bdd.parsers.parse(
        'the two parts of chat {request} add up to {tokens:d} tokens from one '
        'run'
    )
)
def check_parts(stage, request, tokens):
    first, rest = stage.notes['first'], stage.answers[request]
    texts = first.texts + rest.texts
    assert texts == engine_state.expected_tokens(request, tokens)
    assert len(first.texts) < tokens
    assert rest.is_whole
    assert stage.count_runs_of(request) == 1


@bdd.then('all engines become idle')
def check_idle(stage):
    stage.run(stage_lib.wait_until, lambda: stage.find_busy() is None)


@bdd.when(
    bdd.parsers.parse(
        '{count:d} chats of {tokens:d} tokens are sent through {router} with '
        'a deadline of {limit:d} ms'
    )
)
def send_many(stage, count, tokens, limit, router):
    async def send():
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(
                    stage.ask,
                    router,
                    f'many-{index}',
                    tokens,
                    None,
                    {'foxtailpick-deadline-ms': str(limit)},
                )

    stage.run(send)


@bdd.then('some of them are refused as not run')
def check_some_refused(stage):
    assert list_refused(stage)


@bdd.then('those refused as not run never ran')
def check_refusals(stage):
    stage.run(trio.sleep, 1)
    false = [name for name in list_refused(stage) if stage.count_runs_of(name)]
    assert false == []


def list_refused(stage):
    """Return the chat requests that were refused as not run."""
    return [
        name
        for name, answer in stage.answers.items()
        if answer.problem.get('verdict') == 'not-run'
    ]


@bdd.when('all engines are killed')
def kill_engines(stage):
    for name in stage.fleet.engines:
        stage.run(stage.fleet.kill, f'endpoint/{name}')


@bdd.then(bdd.parsers.parse('chat {request} fails with verdict {verdict}'))
def check_failed(stage, request, verdict):
    stage.run(stage_lib.wait_until, lambda: request in stage.answers)
    assert stage.answers[request].problem.get('verdict') == verdict
