"""Tests from caller to engine or service, over loopback sockets."""

import json

import httpcore
import pytest
import trio

from foxtailpick.adapters import http_connections
from foxtailpick.adapters import service as service_adapter
from foxtailpick.core import configuration
from foxtailpick.standins import caller
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib
from foxtailpick.standins import service
from foxtailpick.tests import cutting_server

CREDENTIAL = 'hiker:secret'
DIGEST = configuration.digest_credential(CREDENTIAL).hex()
CONFIG = f"""
[domain alue-yksi]
region = pohjola
[domain alue-kaksi]
region = pohjola
[partner outfitters]
share = 1
[model malli]
[service malli-palvelin]
kind = model
models = malli
[service lupa-sovellus]
kind = plain
once_paths = /bookings
[account hiker]
partner = outfitters
credential_digest = {DIGEST}
"""
DOMAINS = ('alue-yksi', 'alue-kaksi')
TIMEOUT_S = 30
# Just below the longest body that a router takes.
LONG_CHARACTERS = 899_000


def _make_spec(name, domain, models=('malli',), service='malli-palvelin'):
    return fleet_lib.EndpointSpec(name, service, domain, 'pohjola', models)


@pytest.fixture
async def fleet(monitor):
    cfg = configuration.Configuration.from_ini(CONFIG)
    with trio.fail_after(TIMEOUT_S):
        async with fleet_lib.open_fleet(cfg, monitor) as fleet:
            for index, domain in enumerate(DOMAINS):
                await fleet.start_endpoint(_make_spec(f'm{index}', domain))
            await fleet.start_router('r1', 'pohjola', 'alue-yksi')
            yield fleet


@pytest.fixture
async def client(fleet):
    async with caller.Caller(fleet.get('r1').url, CREDENTIAL) as client:
        yield client


async def test_chat_gets_complete_answer(client):
    headers = caller.make_request_headers('req-1', 'chat-1')
    answer = await client.complete_chat(
        'malli', 'huts near the lake', 20, headers
    )
    assert answer.status == 200
    assert answer.texts == engine_state.make_tokens('req-1', 20)
    assert answer.is_complete


async def _ask_in_task(nursery, client, request, tokens, answers, **kwargs):
    headers = caller.make_request_headers(request, f'chat of {request}')

    async def ask():
        answers[request] = await client.complete_chat(
            'malli', 'zone rules', tokens, headers, **kwargs
        )

    nursery.start_soon(ask)


async def _wait_until(condition):
    while not condition():
        await trio.sleep(0.005)


def _find_busy(fleet):
    for name, engine in fleet.engines.items():
        if engine.running:
            return name
    return None


def _assert_complete(answer, request, tokens):
    assert answer.problem == {}
    assert answer.texts == engine_state.make_tokens(request, tokens)
    assert answer.is_complete


async def test_silent_connection_loses_no_token(fleet, client):
    answers = {}
    async with trio.open_nursery() as nursery:
        await _ask_in_task(nursery, client, 'req-s', 300, answers)
        await _wait_until(lambda: _find_busy(fleet))
        assert fleet.networks[_find_busy(fleet)].silence_open_connections() > 0
    _assert_complete(answers['req-s'], 'req-s', 300)
    assert sum(e.runs['req-s'] for e in fleet.engines.values()) == 1


async def test_stream_of_killed_endpoint_resumes_elsewhere(fleet, client):
    answers = {}
    async with trio.open_nursery() as nursery:
        await _ask_in_task(nursery, client, 'req-k', 300, answers)
        await _wait_until(lambda: _find_busy(fleet))
        await fleet.kill_endpoint(_find_busy(fleet))
    _assert_complete(answers['req-k'], 'req-k', 300)


async def test_disconnect_of_caller_cancels_its_work(fleet, client):
    answers = {}
    async with trio.open_nursery() as nursery:
        await _ask_in_task(
            nursery, client, 'req-c', 10_000, answers, stop_after=3
        )
    await _wait_until(lambda: _find_busy(fleet) is None)
    assert len(answers['req-c'].texts) >= 3


async def test_stream_resumes_through_another_router(fleet, client):
    other = await fleet.start_router('r2', 'pohjola', 'alue-kaksi')
    headers = caller.make_request_headers('req-r', 'chat-r')
    answers = {}

    async def ask():
        try:
            answers['cut'] = await client.complete_chat(
                'malli', 'bookings', 300, headers, stop_after=40
            )
        finally:
            fleet.networks[_find_busy(fleet)].silence_open_connections()

    await ask()
    cut = answers['cut']
    client.url = other.url
    headers['last-event-id'] = cut.position
    rest = await client.complete_chat('malli', 'bookings', 300, headers)
    whole = engine_state.make_tokens('req-r', 300)
    received = len(cut.texts)
    assert cut.texts == whole[:received]
    assert rest.texts == whole[received:]


@pytest.mark.parametrize(
    ('model', 'credential', 'status', 'code'),
    [
        ('other', CREDENTIAL, 404, 'FTP-203'),
        ('malli', 'hiker:wrong', 401, 'FTP-202'),
        ('malli', 'nobody:secret', 401, 'FTP-202'),
    ],
)
async def test_invalid_request_gets_error_code(
    fleet, model, credential, status, code
):
    async with caller.Caller(fleet.get('r1').url, credential) as client:
        answer = await client.complete_chat(model, 'hello', 5)
    assert answer.status == status
    assert answer.problem['code'] == code
    assert answer.problem['verdict'] == 'not-run'


@pytest.fixture
async def bookings(fleet):
    for index, domain in enumerate(DOMAINS):
        spec = _make_spec(f's{index}', domain, (), 'lupa-sovellus')
        await fleet.start_endpoint(spec)
    context = fleet.get('r1').ctx
    await _wait_until(
        lambda: len(context.fleet.list_statuses()) == len(DOMAINS) * 2
    )
    return fleet


def _count_runs(fleet, key):
    return sum(state.runs[key] for state in fleet.services.values())


def _set_fault(fleet, fault):
    for state in fleet.services.values():
        state.faults.append(fault)


async def test_repeated_booking_gets_stored_answer(bookings, client):
    first = await client.call_service(
        'lupa-sovellus', 'bookings', '{"hut": 1}', 'k1'
    )
    again = await client.call_service(
        'lupa-sovellus', 'bookings', '{"hut": 1}', 'k1'
    )
    other = await client.call_service(
        'lupa-sovellus', 'bookings', '{"hut": 2}', 'k1'
    )
    assert first.status == again.status == 201
    assert first.body == again.body
    assert other.body['code'] == 'FTP-209'
    assert _count_runs(bookings, 'k1') == 1


@pytest.mark.parametrize('end', [cutting_server.reset, cutting_server.close])
async def test_part_of_a_booking_is_stored_as_its_answer(
    fleet, client, monkeypatch, end
):
    from_url = service_adapter.HttpService.from_url
    body = json.dumps('x' * LONG_CHARACTERS)
    answer = cutting_server.UNFRAMED + b'{"hut": 1}'
    began = http_connections.COUNTERS.answers_reset
    async with cutting_server.open_server(answer, end) as (server, address):
        monkeypatch.setattr(
            service_adapter.HttpService,
            'from_url',
            lambda url: from_url(f'http://{address[0]}:{address[1]}'),
        )
        spec = _make_spec('s0', DOMAINS[0], (), 'lupa-sovellus')
        await fleet.start_endpoint(spec)
        statuses = fleet.get('r1').ctx.fleet.list_statuses
        await _wait_until(lambda: len(statuses()) == len(DOMAINS) + 1)
        answers = [
            await client.call_service('lupa-sovellus', 'bookings', body, 'k1')
            for _ in range(2)
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'{fleet.get("s0").admin_url}/metrics'
            metrics = (await pool.request('GET', url)).content.decode()
    (line,) = http_connections.format_metrics()
    assert line in metrics.splitlines()
    assert http_connections.COUNTERS.answers_reset == began + 1
    assert [item.status for item in answers] == [502, 502]
    assert {item.body['verdict'] for item in answers} == {'may-have-run'}
    assert server.requests == 1


@pytest.mark.parametrize(
    ('fault', 'code', 'verdict', 'runs'),
    [
        (service.Fault.LOST_REPLY, 'FTP-208', 'may-have-run', 1),
        (service.Fault.CRASH_BEFORE_RUN, 'FTP-208', 'may-have-run', 0),
    ],
)
async def test_unknown_outcome_is_reported(
    bookings, client, fault, code, verdict, runs
):
    _set_fault(bookings, fault)
    for _ in range(2):
        answer = await client.call_service(
            'lupa-sovellus', 'bookings', '{}', 'k2'
        )
        assert answer.body['code'] == code
        assert answer.body['verdict'] == verdict
    assert _count_runs(bookings, 'k2') == runs


async def test_unknown_account_waits_for_the_store(bookings, client):
    bookings.store.take_down()
    answer = await client.call_service('lupa-sovellus', 'bookings', '{}', 'k6')
    assert answer.body['verdict'] == 'not-run'
    bookings.store.bring_up()
    while answer.status != 201:
        assert _count_runs(bookings, 'k6') == 0
        answer = await client.call_service(
            'lupa-sovellus', 'bookings', '{}', 'k6'
        )
    assert _count_runs(bookings, 'k6') == 1


async def test_booking_without_store_is_refused_as_not_run(bookings, client):
    await client.call_service('lupa-sovellus', 'bookings', '{}', 'k0')
    bookings.store.take_down()
    answer = await client.call_service('lupa-sovellus', 'bookings', '{}', 'k3')
    bookings.store.bring_up()
    assert answer.body['verdict'] == 'not-run'
    assert _count_runs(bookings, 'k3') == 0
    repeat = await client.call_service('lupa-sovellus', 'bookings', '{}', 'k3')
    assert repeat.status == 201
    assert _count_runs(bookings, 'k3') == 1


async def test_lost_store_reply_does_not_book_twice(bookings, client):
    bookings.store.faults.lost_replies = 1
    answer = await client.call_service('lupa-sovellus', 'bookings', '{}', 'k4')
    assert answer.status == 201
    assert _count_runs(bookings, 'k4') == 1


async def test_concurrent_bookings_run_once(bookings, client):
    other = await bookings.start_router('r2', 'pohjola', 'alue-kaksi')
    answers = []

    async def book(url):
        async with caller.Caller(url, CREDENTIAL) as one:
            answers.append(
                await one.call_service('lupa-sovellus', 'bookings', '{}', 'k5')
            )

    async with trio.open_nursery() as nursery:
        for url in (client.url, other.url) * 4:
            nursery.start_soon(book, url)
    assert _count_runs(bookings, 'k5') == 1
    assert any(answer.status == 201 for answer in answers)
    for answer in answers:
        assert answer.status == 201 or answer.body['code'] == 'FTP-210'


async def test_booking_needs_a_key(bookings, client):
    answer = await client.call_service('lupa-sovellus', 'bookings', '{}')
    assert answer.body['code'] == 'FTP-201'
    read = await client.call_service(
        'lupa-sovellus', 'bookings', '', method='GET'
    )
    assert read.status == 200
