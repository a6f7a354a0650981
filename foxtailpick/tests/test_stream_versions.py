"""A stream goes on at the software version that began it, or not at all."""

import base64
import contextlib
import dataclasses

import pytest
import trio
import trio.testing

from foxtailpick.core.dispatch import restored_store
from foxtailpick.core.dispatch import stream_origins
from foxtailpick.gateway import http1
from foxtailpick.gateway import stream_keeper
from foxtailpick.platform import fields
from foxtailpick.platform import items
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server
from foxtailpick.platform import stream_items
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

LAST = 4
VERSIONS_KEY = stream_items.make_versions_key('engine')
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
            await self.until_recorded(harness)
            yield harness

    @contextlib.asynccontextmanager
    async def start_gateway_alone(self):
        """Run a gateway before the endpoints have registered again."""
        async with gateway_harness.open_harness(store=self.store) as harness:
            await harness.until_known('e1')
            yield harness

    async def until_recorded(self, harness):
        """Wait until streams may begin at all endpoints."""
        await harness.until_known(*self.endpoints)
        versions = {
            harness.gw.state.table.get(name).entry.version
            for name in self.endpoints
        }

        def is_recorded():
            known = harness.gw.stream_versions.get('engine')
            return known is not None and versions <= (known.recorded or set())

        await harness.until(is_recorded)

    async def until_written(self, harness):
        """Wait until the store has the streams of a gateway."""
        await harness.until(
            lambda: harness.gw.metrics.counters['streams_begun_writes']
        )

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
            await fleet.until_recorded(harness)
            await fleet.until_written(harness)
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
            await fleet.until_recorded(harness)
            await fleet.until_written(harness)
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


@pytest.mark.parametrize('status', [503, 200])
async def test_gateway_cut_off_from_the_store_joins_no_versions(status):
    """It can't know of a version that others found since."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            # With 200 it answers with an empty object.
            fleet.store.refuse_with = status
            answer = await take_up(harness, 'a2', 'a1')
        assert answer.status == 503
        assert b'retry-after' in answer.headers
        assert fleet.count('e1') == 0


async def test_stream_of_a_lost_lease_is_written_again():
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        fleet.add('e2', 'v2')
        async with fleet.start_gateway() as harness:
            first = await begin(harness)
            await fleet.until_written(harness)
            for key in [key for key in fleet.store.items if '/begun/' in key]:
                fleet.store.remove(key)
            fleet.store.leases.clear()
            await begin(harness, 'a2')
            await harness.until(
                lambda: harness.gw.metrics.counters['streams_begun_writes'] > 1
            )
        async with fleet.start_gateway() as harness:
            answer = await take_up(harness, 'a3', 'a1')
    version = 'v1' if b'data: v1' in first else 'v2'
    assert answer.body == make_events(3, LAST, version)


async def test_version_is_recorded_again_in_a_restored_store():
    """The copy is older than the first stream of the new version."""
    async with open_fleet() as fleet:
        fleet.store.era = 1
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            copy = fleet.store.take_copy()
            fleet.add('e2', 'v2')
            await fleet.until_recorded(harness)
            entry = fleet.store.items['servers/e2']
            fleet.store.restore(copy)
            fleet.store.items['servers/e2'] = entry
            await harness.until(
                lambda: (
                    b'v2'
                    in base64.b64decode(
                        fleet.store.items[VERSIONS_KEY]['value']
                    )
                )
            )


async def test_older_copy_of_the_store_proves_no_version(monkeypatch):
    """The copy is older than the release; the gateway starts after it."""
    async with open_fleet() as fleet:
        fleet.store.era = 1
        fleet.add('e1', 'v1')
        with monkeypatch.context() as patch:
            patch.setattr(restored_store, 'REWRITE_MS', 100.0)
            patch.setattr(stream_keeper, 'CHECK_INTERVAL_MS', 50.0)
            async with fleet.start_gateway() as harness:
                versions = harness.gw.stream_versions['engine']
                await harness.until(lambda: versions.era == 1)
                copy = fleet.store.take_copy()
        fleet.add('e2', 'v2')
        fleet.store.restore(copy)
        async with fleet.start_gateway_alone() as harness:
            answer = await take_up(harness, 'a2', 'a1')
        assert answer.status == 503
        assert b'retry-after' in answer.headers
        assert fleet.count('e1') == 0


async def test_abandoned_read_of_the_store_serves_no_other_caller(
    monkeypatch,
):
    """A caller that reads leaves, and the one that waits reads itself."""
    ends = [trio.Event() for _ in range(3)]
    begun = []
    served = []

    async def read_slowly():
        begun.append(len(begun))
        await ends[begun[-1]].wait()

    async def ask(keeper, name, scope):
        with scope:
            await keeper._read_anew()
            served.append(name)

    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            keeper = harness.gw.look_up_stream.__self__
            monkeypatch.setattr(keeper, '_read', read_slowly)
            scopes = {name: trio.CancelScope() for name in 'abc'}
            for name, scope in scopes.items():
                harness.nursery.start_soon(ask, keeper, name, scope)
                await trio.testing.wait_all_tasks_blocked(0.01)
            ends[0].set()
            await harness.until(lambda: len(begun) == 2)
            abandoned = 'b' if 'b' not in served else 'c'
            scopes[abandoned].cancel()
            await harness.until(lambda: len(begun) == 3)
            assert served == ['a']
            ends[2].set()
            await harness.until(lambda: len(served) == 2)


async def test_store_proves_a_version_once_all_have_written(monkeypatch):
    monkeypatch.setattr(restored_store, 'REWRITE_MS', 300.0)
    monkeypatch.setattr(stream_keeper, 'CHECK_INTERVAL_MS', 50.0)
    async with open_fleet() as fleet:
        fleet.store.era = 3
        fleet.add('e1', 'v1')
        async with fleet.start_gateway() as harness:
            versions = harness.gw.stream_versions['engine']
            assert versions.era is None
            await harness.until(lambda: versions.era == 3)
            answer = await take_up(harness, 'a2', 'a1')
    assert answer.body == make_events(3, LAST, 'v1')


async def test_version_that_left_is_retired(monkeypatch):
    monkeypatch.setattr(stream_origins, 'RETIRE_MS', 400.0)
    monkeypatch.setattr(stream_origins, 'REPEAT_MS', 200.0)
    monkeypatch.setattr(stream_origins, 'MIN_KEEP_MS', 100.0)
    monkeypatch.setattr(stream_keeper, 'CHECK_INTERVAL_MS', 50.0)
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1')
        fleet.add('e2', 'v2')
        async with fleet.start_gateway() as harness:
            harness.gw.streams.keep_ms = 100.0
            fleet.remove('e1')
            versions = harness.gw.stream_versions['engine']
            await harness.until(lambda: versions.recorded == {'v2'})
            answer = await take_up(harness, 'a2', 'a1')
    assert answer.body == make_events(3, LAST, 'v2')


async def test_new_version_waits_until_it_is_recorded():
    """A gateway without the store can't tell the others of it."""
    async with open_fleet() as fleet:
        fleet.add('e1', 'v1', breaks_first=False)
        async with fleet.start_gateway() as harness:
            table = harness.gw.state.table
            fleet.store.refuse_with = 503
            entry = table.get('e1').entry
            table.put(
                dataclasses.replace(
                    entry, id='e2', version='v2', address=('127.0.0.1', 9)
                ),
                harness.gw.now_ms(),
            )
            for number, prompt in enumerate(PROMPTS):
                await begin(harness, f'a{number}', prompt)
            assert fleet.count('e1') == len(PROMPTS)


def test_all_routers_together_keep_to_their_share_of_the_writes():
    for routers in (1, 4, 68, 300):
        interval_ms = stream_origins.compute_write_interval_ms(routers, 400.0)
        assert routers * 1_000.0 / interval_ms <= 0.25 * 400.0


def test_part_of_the_streams_is_bounded():
    streams = stream_origins.StreamOrigins()
    origin = stream_origins.Origin('engine', 'v1')
    for number in range(20):
        streams.record(f'a{number}', origin, 1_000.0, 0.0)
    first = streams.take_unwritten({'engine'}, 15)
    second = streams.take_unwritten({'engine'}, 15)
    assert stream_origins.count(first) == 15
    assert stream_origins.count(second) == 5
    streams.forget_written()
    streams.expire(2_000.0)
    assert streams.take_unwritten({'engine'}, 15) == {}


@pytest.mark.parametrize(
    ('key', 'value'),
    [
        ('versions/engine', b'{"versions": 3}'),
        ('versions/engine', b'{"versions": [3]}'),
        ('begun/router-9/1', b'{"streams": {"engine": []}}'),
        ('begun/router-9/1', b'{"streams": {"engine": {"v1": "a1"}}}'),
        ('begun/router-9/1', b'\xff'),
    ],
)
def test_item_of_another_writer_is_refused(key, value):
    with pytest.raises(fields.ItemError):
        items.decode_item(stream_items.STREAM_PREFIX + key, value)
