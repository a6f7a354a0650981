"""Tests of answers that are no HTTP, on connections that stay open."""

import pytest
import trio

from foxtailpick.adapters import service as service_adapter
from foxtailpick.core import errors
from foxtailpick.core import verdict
from foxtailpick.gateway import http1
from foxtailpick.tests import cutting_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts
from foxtailpick.tests import store_harness

NO_STATUSES = [b'000', b'099', b'99', b'0200', b'1000']
MALFORMED_LINES = [
    b'X Field: 1',
    b'X\tField: 1',
    b'X\x01Field: 1',
    b'X\x00Field: 1',
    b'X\x7fField: 1',
    b' X-Field: 1',
    b'X-Field : 1',
    b'Content-Length : 1',
    b'Transfer-Encoding : chunked',
    b'X-Field',
]


def put_first(line):
    """Return a head with a line before all others of its fields."""
    status_line, fields = cutting_server.SIGNED.split(b'\r\n', 1)
    return b'\r\n'.join([status_line, line, fields])


@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
@pytest.mark.parametrize('body', [b'', b'hi'])
@pytest.mark.parametrize('status', NO_STATUSES)
async def test_status_that_is_none_reaches_the_caller(path, body, status):
    await check_malformed(
        path,
        cutting_server.SIGNED.replace(b'200', status)
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body,
    )


@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
async def test_answer_behind_a_status_that_is_none_reaches_the_caller(path):
    body = gateway_scripts.get_events(1, 2)
    await check_malformed(
        path,
        cutting_server.SIGNED.replace(b'200', b'000')
        + b'Content-Length: 0\r\n\r\n'
        + cutting_server.SIGNED
        + b'Content-Length: %d\r\n\r\n' % len(body)
        + body,
    )


@pytest.mark.parametrize('path', ['/unsafe/x', '/fixed/x'])
@pytest.mark.parametrize('line', MALFORMED_LINES)
@pytest.mark.parametrize('is_first', [True, False])
async def test_malformed_name_of_a_field_reaches_the_caller(
    path, line, is_first
):
    head = cutting_server.SIGNED + line + b'\r\n'
    if is_first:
        head = put_first(line)
    body = gateway_scripts.get_events(1, 2)
    await check_malformed(
        path, head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    )


async def check_malformed(path, answer):
    """Check that an answer on a connection that stays open is an error."""

    async def serve(exchange):
        await http1.send_all(exchange.sock, answer)
        await trio.sleep_forever()

    cfg = gateway_harness.make_config(
        routes=[
            gateway_harness.make_route(
                name, f'/{name}/', kind, timeout_ms=1_000
            )
            for name, kind in (('unsafe', 'unsafe'), ('fixed', 'streaming'))
        ]
    )
    async with gateway_harness.open_harness(cfg) as harness:
        service = 'plain' if path == '/unsafe/x' else 'engine'
        endpoint = harness.add_endpoint('p1', service, serve)
        await harness.until_known('p1')
        answer = await harness.ask(
            path, b'POST', X_Prefix_Hash=gateway_scripts.PROMPT
        )
        assert harness.gw.metrics.counters['defects'] == 0
    assert answer.status == 502
    assert b'x-server-stamp' not in answer.headers
    assert len(endpoint.received) == 1


@pytest.mark.parametrize(
    'head',
    [
        *(
            cutting_server.SIGNED.replace(b'200', status)
            for status in NO_STATUSES
        ),
        *(put_first(line) for line in MALFORMED_LINES),
    ],
)
async def test_malformed_answer_is_the_answer_of_a_plain_service(head):
    answer = head + b'Content-Length: 2\r\n\r\nhi'
    async with cutting_server.open_server(answer, cutting_server.close) as (
        server,
        address,
    ):
        url = f'http://{address[0]}:{address[1]}'
        async with service_adapter.HttpService.from_url(url) as adapter:
            with pytest.raises(errors.RequestError) as caught:
                await adapter.call('POST', '/', b'', {})
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert server.requests == 1


@pytest.mark.parametrize('status', [b'000', b'099'])
async def test_status_that_is_none_lets_a_call_to_the_store_time_out(
    autojump_clock, monkeypatch, status
):
    class Store:
        async def serve_one(self, sock):
            with sock:
                await http1.receive(sock)
                head = b'HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n' % status
                await http1.send_all(sock, head)
                await trio.sleep_forever()

    async with store_harness.open_store(Store(), monkeypatch) as (_, store):
        began_ms = store_harness.now_ms()
        with pytest.raises(errors.StoreError):
            await store.get('op/config')
        assert store_harness.now_ms() == began_ms
