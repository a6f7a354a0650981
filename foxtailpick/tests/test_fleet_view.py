"""Tests of the fleet view's reaction to frames and probes, in virtual time."""

import random
import types as std_types

import pytest
import trio

from foxtailpick.adapters import base
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.router import fleet_view

MEMBERS = [
    base.Member(
        endpoint=f'e{number}',
        incarnation='listed',
        address=f'a{number}',
        region='pohjola',
        domain='alue-yksi',
        service='malli-palvelin',
    )
    for number in range(3)
]


class LinksStandIn:
    """A link pool whose probes get a handshake, or fail for `dead` ones."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.dead = set()
        self.probed = []

    async def probe(self, address):
        self.probed.append(address)
        await trio.sleep(0.01)
        if address in self.dead:
            raise errors.LinkError(errors.ErrorCode.LINK_LOST, 'dead')
        receive(self.fleet, f'e{address[1:]}', make_hello(address))


def make_hello(address):
    return messages.Hello(
        messages.PROTOCOL_VERSION, f'e{address[1:]}', 'process'
    )


def receive(fleet, endpoint, message):
    peer = make_hello(f'a{endpoint[1:]}')
    link = std_types.SimpleNamespace(peer=peer)
    fleet.on_frame(link, messages.Frame(types.ConfigNumber(1), message))


@pytest.fixture
def fleet(monitor):
    node = std_types.SimpleNamespace(current=configuration.Configuration())
    return fleet_view.FleetView(node, monitor, random.Random(1))


def list_endpoints(fleet):
    return [status.member.endpoint for status in fleet.list_statuses()]


async def test_successful_probe_clears_suspect(autojump_clock, fleet, nursery):
    links = LinksStandIn(fleet)
    fleet.on_list(MEMBERS)
    nursery.start_soon(fleet.run_probes, links)
    fleet.on_unreachable('e1')
    fleet.refresh()
    assert 'e1' in fleet.list_avoided()
    await trio.sleep(1.0)
    assert links.probed == ['a1']
    assert 'e1' not in fleet.list_avoided()


async def test_successful_probes_keep_unlisted_member(
    autojump_clock, fleet, nursery
):
    links = LinksStandIn(fleet)
    fleet.on_list(MEMBERS)
    nursery.start_soon(fleet.run_probes, links)
    for _ in range(30):
        fleet.on_list(MEMBERS[1:])
        await trio.sleep(1.0)
    assert list_endpoints(fleet) == ['e0', 'e1', 'e2']
    links.dead.add('a0')
    await trio.sleep(11.0)
    assert list_endpoints(fleet) == ['e1', 'e2']


async def test_frame_on_open_link_prevents_outage(autojump_clock, fleet):
    fleet.on_list(MEMBERS)
    for endpoint in ('e0', 'e1'):
        fleet.on_unreachable(endpoint)
    receive(fleet, 'e2', messages.Probe(1))
    fleet.refresh()
    # Without the frame, three failures in a row would be an outage of the
    # failure domain, during which no member is removed.
    fleet.on_unreachable('e2')
    fleet.on_unreachable('e0')
    fleet.refresh()
    assert list_endpoints(fleet) == ['e1', 'e2']
