"""Tests of endpoints whose address a later process has taken."""

import pytest

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.tests import gateway_harness

ADDRESS = ('10.1.0.1', 8000)


def put(table, name, started, address=ADDRESS, **fields):
    entry = gateway_harness.make_endpoint_entry(
        name, started=started, address=address, **fields
    )
    return table.put(entry, 0.0)


def list_ids(table):
    return [item.id for item in table.list_service('engine')]


@pytest.mark.parametrize('order', [('old', 'new'), ('new', 'old')])
def test_process_that_started_last_owns_an_address(order):
    starts = {'old': '999', 'new': '1000'}
    table = endpoint_table.EndpointTable()
    for name in order:
        put(table, name, starts[name])
    assert list_ids(table) == ['new']
    assert not table.is_sendable(table.get('old'), 0.0)


def test_ended_process_does_not_return_with_a_heartbeat():
    table = endpoint_table.EndpointTable()
    put(table, 'old', '1')
    put(table, 'new', '2')
    put(table, 'old', '1')
    table.remove('new', 0.0)
    assert list_ids(table) == []
    # It has started again, under its id and at its address.
    put(table, 'old', '3')
    assert list_ids(table) == ['old']


@pytest.mark.parametrize(
    ('started', 'address'),
    [('', ADDRESS), ('x', ADDRESS), ('1', ADDRESS), ('2', ('10.1.0.1', 1))],
)
def test_start_and_address_have_to_tell(started, address):
    table = endpoint_table.EndpointTable()
    put(table, 'a', '1')
    put(table, 'b', started, address)
    assert list_ids(table) == ['a', 'b']


async def test_domain_that_returns_at_its_addresses_is_served():
    refused = []

    def make_script(name):
        async def answer(exchange):
            if exchange.is_for(name):
                await exchange.answer(body=b'hello')
            else:
                refused.append(name)
                await exchange.answer(421, b'', is_signed=False)

        return answer

    async with gateway_harness.open_harness() as harness:
        table = harness.gw.state.table
        for name in ('new0', 'new1', 'new2', 'new3'):
            harness.add_endpoint(name, 'plain', make_script(name))
            await harness.until_known(name)
            entry = gateway_harness.make_entry(
                'plain', table.get(name).entry.address, born=1
            )
            harness.store.put(f'servers/{name}-before', entry)
            await harness.until_known(f'{name}-before')
        answers = [await harness.ask('/unsafe/x', b'POST') for _ in range(8)]
    assert {answer.status for answer in answers} == {200}
    assert refused == []
