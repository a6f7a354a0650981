"""A stream goes on at the software version that began it, or not at all."""

import contextlib

import pytest
import trio

from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

LAST = 4
# Prompts with different homes among the endpoints.
PROMPTS = ('ab:500,cd:10', 'ef:500,cd:10', '12:500,cd:10', '34:500,cd:10')


def make_script(version, breaks_first=True):
    """Return a script that names its version in each event.

    :param version: software version of the endpoint.
    :param breaks_first: whether a stream that begins here breaks off after
        its second event.
    """

    async def serve(exchange):
        last = int(exchange.received.headers.get(b'last-event-id', 0))
        await exchange.begin_stream()
        for number in range(last + 1, LAST + 1):
            await exchange.send_data(make_event(number, version))
            if breaks_first and last == 0 and number == 2:
                raise endpoint_server.AbortConnectionError
        await exchange.end_stream()

    return serve


def make_event(number, version):
    return b'id: %d\ndata: %s\n\n' % (number, version.encode())


def make_events(first, last, version):
    return b''.join(make_event(n, version) for n in range(first, last + 1))


class Fleet:
    """Endpoints that stay while gateways come and go.

    :param nursery: runs the endpoints.
    """

    def __init__(self, nursery):
        self.store = store_server.PlatformStoreStandIn()
        self.store.put('op/config', gateway_harness.make_config())
        self.endpoints = {}
        self._nursery = nursery

    def add(self, name, version, breaks_first=True):
        """Start an endpoint of a version."""
        standin = endpoint_server.EndpointStandIn(
            make_script(version, breaks_first)
        )
        sock = http1.listen(gateway_harness.ANY_PORT, 64)
        self._nursery.start_soon(standin.serve, sock)
        self.store.put(
            f'servers/{name}',
            gateway_harness.make_entry(
                'engine', sock.getsockname(), version=version
            ),
        )
        self.endpoints[name] = standin

    def remove(self, name):
        """Let an endpoint leave."""
        self.store.remove(f'servers/{name}')
        del self.endpoints[name]

    @contextlib.asynccontextmanager
    async def start_gateway(self, name='router-1'):
        """Run a gateway; it keeps nothing beyond the end of the context."""
        async with gateway_harness.open_harness(
            store=self.store, name=name
        ) as harness:
            await harness.until_known(*self.endpoints)
            # Versions are noted before streams begin at them.
            await trio.sleep(0.3)
            yield harness

    def count(self, name):
        """Return the number of requests that an endpoint got."""
        return len(self.endpoints[name].received)


@contextlib.asynccontextmanager
async def open_fleet():
    """Run endpoints."""
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery)
        nursery.cancel_scope.cancel()


async def begin(harness, request='a1', prompt=gateway_scripts.PROMPT):
    """Begin a stream; return what the caller got before it broke off."""
    conn = await harness.send(
        '/movable/x',
        b'POST',
        b'data',
        X_Attempt_Id=request,
        X_Prefix_Hash=prompt,
    )
    received = b''
    with trio.fail_after(gateway_harness.LIMIT_S), contextlib.closing(conn):
        while not received.endswith(b'0\r\n\r\n'):
            data = await http1.receive(conn._sock)
            if not data:
                break
            received += data
    return received


async def take_up(harness, request, resumes, prompt=gateway_scripts.PROMPT):
    """Take up a stream after its second event; return the answer."""
    return await harness.ask(
        '/movable/x',
        b'POST',
        b'data',
        X_Attempt_Id=request,
        X_Prefix_Hash=prompt,
        Last_Event_Id='2',
        Resumes=resumes,
    )


async def test_stream_within_one_answer_is_not_joined_of_two_versions():
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        fleet.add('e2', 'v2')
        async with fleet.start_gateway() as harness:
            received = [
                await begin(harness, f'a{number}', prompt)
                for number, prompt in enumerate(PROMPTS)
            ]
    for answer in received:
        assert b'data: v1' not in answer or b'data: v2' not in answer
        assert not answer.endswith(b'0\r\n\r\n')


async def test_stream_within_one_answer_goes_on_at_its_version():
    async with open_fleet() as fleet:
        for name in ('e1', 'e2'):
            fleet.add(name, 'v1')
        for name in ('e3', 'e4'):
            fleet.add(name, 'v2')
        async with fleet.start_gateway() as harness:
            received = [
                await begin(harness, f'a{number}', prompt)
                for number, prompt in enumerate(PROMPTS)
            ]
    for answer in received:
        assert b'data: v1' not in answer or b'data: v2' not in answer
        assert answer.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('gateway', ['router-1', 'router-2'])
async def test_stream_is_taken_up_at_its_version(gateway):
    """Also at another gateway, and after the first one was killed."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            await begin(harness)
            for name in ('e2', 'e3', 'e4'):
                fleet.add(name, 'v2')
            await harness.until_known('e2', 'e3', 'e4')
            await trio.sleep(0.6)
        async with fleet.start_gateway(gateway) as harness:
            answer = await take_up(harness, 'a2', 'a1')
    assert answer.status == 200
    assert answer.body == make_events(3, LAST, 'v1')


async def test_stream_taken_up_after_its_version_left_is_not_joined():
    """All gateways were killed, and only the new version is left."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            await begin(harness)
            fleet.add('e2', 'v2')
            await harness.until_known('e2')
            await trio.sleep(0.6)
        fleet.remove('e1')
        async with fleet.start_gateway() as harness:
            answer = await take_up(harness, 'a2', 'a1')
        assert answer.status == 503
        assert fleet.count('e2') == 0


async def test_stream_of_an_unknown_version_is_not_joined():
    """No gateway had the time to say which version began it."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        fleet.add('e2', 'v2')
        async with fleet.start_gateway():
            pass
        fleet.remove('e1')
        async with fleet.start_gateway() as harness:
            answer = await take_up(harness, 'a2', 'a1')
        assert answer.status == 503
        assert fleet.count('e2') == 0


async def test_stream_is_taken_up_where_there_is_one_version():
    """No gateway says which version began it, as there was no other."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            await begin(harness)
        async with fleet.start_gateway() as harness:
            answer = await take_up(harness, 'a2', 'a1')
        begun = [key for key in fleet.store.items if '/begun/' in key]
    assert answer.body == make_events(3, LAST, 'v1')
    assert begun == []


async def test_gateway_cut_off_from_the_store_joins_no_versions():
    """It can't know of a version that others found since."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            fleet.store.refuse_with = 503
            answer = await take_up(harness, 'a2', 'a1')
        assert answer.status == 503
        assert b'retry-after' in answer.headers
        assert fleet.count('e1') == 0
