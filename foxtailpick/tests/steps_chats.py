"""Steps for single chats, drained endpoints and killed processes."""

import pytest_bdd as bdd
import trio

from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state
from foxtailpick.tests import scenario_harness


def find_serving_endpoint(harness, request):
    """Return the endpoint that runs or ran a request, if any."""
    for name, engine in harness.fleet.engines.items():
        if engine.runs[request]:
            return name
    return None


@bdd.when(
    bdd.parsers.parse(
        'chat {request} of {tokens:d} tokens starts through {router}'
    )
)
def start_chat(harness, request, tokens, router):
    harness.spawn(harness.ask, router, request, tokens)
    harness.run(
        scenario_harness.wait_until,
        lambda: find_serving_endpoint(harness, request),
    )


@bdd.when(bdd.parsers.parse('the endpoint of chat {request} is drained'))
def drain(harness, request):
    name = find_serving_endpoint(harness, request)
    harness.context['drained'] = name
    _post_to_sidecar(harness, name, 'drain')


@bdd.when('the drained endpoint is returned to service')
def undrain(harness):
    _post_to_sidecar(harness, harness.context['drained'], 'undrain')


def _post_to_sidecar(harness, name, action):
    url = harness.fleet.get(name).admin_url
    harness.run(scenario_harness.post, f'{url}/v1/{action}')


@bdd.then(
    bdd.parsers.parse(
        'no run starts at the drained endpoint for {seconds:d} s'
    )
)
def check_drained_idle(harness, seconds):
    engine = harness.fleet.engines[harness.context['drained']]
    before = engine.runs.total()
    harness.run(trio.sleep, seconds)
    assert engine.runs.total() == before


@bdd.then('it starts to serve requests again')
def check_undrained(harness):
    engine = harness.fleet.engines[harness.context['drained']]
    before = engine.runs.total()
    harness.run(
        scenario_harness.wait_until, lambda: engine.runs.total() > before
    )


@bdd.then(
    bdd.parsers.parse(
        'chat {request} receives all {tokens:d} tokens from one run'
    )
)
def check_complete_in_one_run(harness, request, tokens):
    check_complete(harness, request, tokens)
    assert harness.count_runs_of(request) == 1


@bdd.then(bdd.parsers.parse('chat {request} receives all {tokens:d} tokens'))
def check_complete(harness, request, tokens):
    harness.run(
        scenario_harness.wait_until, lambda: request in harness.answers
    )
    scenario_harness.assert_complete(harness.answers[request], request, tokens)


@bdd.when(
    bdd.parsers.re(r'the connections of chat (?P<request>\w+) go silent')
)
def silence_connections(harness, request):
    network = harness.fleet.networks[find_serving_endpoint(harness, request)]
    assert network.silence_open_connections() > 0


@bdd.when(bdd.parsers.parse('the endpoint of chat {request} is killed'))
def kill_endpoint(harness, request):
    harness.run(
        harness.fleet.kill_endpoint, find_serving_endpoint(harness, request)
    )


@bdd.when(
    bdd.parsers.parse(
        'chat {request} of {tokens:d} tokens is cut off after {count:d} '
        'tokens as {router} is killed'
    )
)
def cut_off_by_kill(harness, request, tokens, count, router):
    received = caller_lib.ChatAnswer(0)
    harness.context['tokens'] = tokens
    harness.answers[request] = received
    harness.spawn(harness.ask_until_lost, router, request, tokens, received)
    harness.run(
        scenario_harness.wait_until, lambda: len(received.texts) >= count
    )
    harness.run(harness.fleet.kill, router)


@bdd.when(
    bdd.parsers.parse(
        'the caller of chat {request} of {tokens:d} tokens disconnects after '
        '{count:d} tokens'
    )
)
def disconnect_caller(harness, request, tokens, count):
    _ask_partially(harness, 'r1', request, tokens, count)
    assert len(harness.answers[request].texts) < tokens


def _ask_partially(harness, router, request, tokens, count):
    harness.context['tokens'] = tokens
    harness.run(harness.ask, router, request, tokens, count)


@bdd.when(
    bdd.parsers.parse(
        'the rest of chat {request} is requested through {router}'
    )
)
def request_rest(harness, request, router):
    first = harness.answers[request]
    harness.context['first'] = first
    harness.run(
        harness.ask,
        router,
        request,
        harness.context['tokens'],
        None,
        {'last-event-id': first.position},
    )


@bdd.then(
    bdd.parsers.parse(
        'the two parts of chat {request} add up to {tokens:d} tokens from one '
        'run'
    )
)
def check_parts(harness, request, tokens):
    first, rest = harness.context['first'], harness.answers[request]
    texts = first.texts + rest.texts
    assert texts == engine_state.make_tokens(request, tokens)
    assert len(first.texts) < tokens
    assert rest.is_complete
    assert harness.count_runs_of(request) == 1


@bdd.then('all engines become idle')
def check_idle(harness):
    harness.run(
        scenario_harness.wait_until,
        lambda: harness.find_busy_endpoint() is None,
    )


@bdd.when(
    bdd.parsers.parse(
        '{count:d} chats of {tokens:d} tokens are sent through {router} with '
        'a deadline of {limit:d} ms'
    )
)
def send_chats(harness, count, tokens, limit, router):
    async def send():
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(
                    harness.ask,
                    router,
                    f'many-{index}',
                    tokens,
                    None,
                    {'foxtailpick-deadline-ms': str(limit)},
                )

    harness.run(send)


@bdd.then('some of them are refused as not run')
def check_some_refused(harness):
    assert list_refused(harness)


@bdd.then('those refused as not run never ran')
def check_refused_never_ran(harness):
    harness.run(trio.sleep, 1)
    wrongly_refused = [
        name for name in list_refused(harness) if harness.count_runs_of(name)
    ]
    assert wrongly_refused == []


def list_refused(harness):
    """Return the chat requests that were refused as not run."""
    return [
        name
        for name, answer in harness.answers.items()
        if answer.problem.get('verdict') == 'not-run'
    ]


@bdd.when('all engines are killed')
def kill_engines(harness):
    for name in harness.fleet.engines:
        harness.run(harness.fleet.kill, f'endpoint/{name}')


@bdd.then(bdd.parsers.parse('chat {request} fails with verdict {verdict}'))
def check_failed(harness, request, verdict):
    harness.run(
        scenario_harness.wait_until, lambda: request in harness.answers
    )
    assert harness.answers[request].problem.get('verdict') == verdict
