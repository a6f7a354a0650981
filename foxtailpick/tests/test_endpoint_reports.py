"""Tests of the load that endpoints state in their responses."""

import pytest

from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.platform import dialect
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

HUGE = b'9' * 400


def decode(value):
    return dialect.decode_response([(b'x-server-load', value)])


@pytest.mark.parametrize(
    ('value', 'report'),
    [
        (b'3,0,8', model.LoadReport(3, 0, 8)),
        (b'3,0,8,140', model.LoadReport(3, 0, 8, 1.4)),
        (b'64, 12, 64, 100', model.LoadReport(64, 12, 64, 1.0)),
        (b'0,0,8,40', model.LoadReport(0, 0, 8, 0.4)),
    ],
)
def test_report_of_load_is_read(value, report):
    meta = decode(value)
    assert meta.load == report
    assert meta.bad_load is None


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'3',
        b'3,0',
        b'3,0,8,140,1',
        b'3,0,8,',
        b'3,0,8,0',
        b'3,0,8,-100',
        b'3,0,8,nan',
        b'3,0,8,1e2',
        b'3,0,8,' + HUGE,
        b'-3,0,8,100',
        b'3,0,' + HUGE + b',100',
        b'3;0;8;140',
    ],
)
def test_invalid_report_is_kept_apart(value):
    meta = decode(value)
    assert meta.load is None
    assert meta.bad_load == value.decode()


async def test_invalid_report_is_logged_and_changes_nothing():
    async with gateway_harness.open_harness() as harness:
        standin = harness.add_endpoint(
            'p1', 'plain', gateway_scripts.answer_plainly
        )
        await harness.until_known('p1')
        lines = []
        harness.gw.log.emit = lambda event, **fields: lines.append(
            (event, fields)
        )
        endpoint = harness.gw.state.table.get('p1')
        standin.load = b'5,2,8,300'
        assert (await harness.ask('/safe/x')).status == 200
        load = endpoint.remote_load
        assert load > 0
        standin.load = b'0,0,8,-1'
        assert (await harness.ask('/safe/x')).status == 200
        assert endpoint.remote_load == load
    (fields,) = (item for event, item in lines if event == 'load-invalid')
    assert fields['code'] == errors.ErrorCode.ENDPOINT_HEADER_INVALID.value
    assert "'0,0,8,-1'" in fields['why']
