"""Tests of the timeline of a request that is extracted from a log."""

import json

from foxtailpick import cli
from foxtailpick.gateway import request_timeline

LINES = [
    {'ms': 0, 'event': 'store-lost', 'error': 'long ago'},
    {'ms': 20_000, 'event': 'endpoint-paused', 'endpoint': 'e1', 'why': 'x'},
    {'ms': 20_100, 'event': 'endpoint-paused', 'endpoint': 'e2', 'why': 'y'},
    {'ms': 20_200, 'event': 'placed', 'request': 'a1', 'endpoint': 'e1'},
    {'ms': 20_300, 'event': 'placed', 'request': 'a2', 'endpoint': 'e1'},
    {'ms': 20_400, 'event': 'config-applied', 'version': 7},
    {'ms': 20_500, 'event': 'ended', 'request': 'a1', 'status': 502},
    {'ms': 20_600, 'event': 'store-lost', 'error': 'afterwards'},
]
TEXT = [
    'no json here',
    '{"broken',
    *(f'12.3 router-1 {json.dumps(line)}' for line in LINES),
]


def test_timeline_holds_decisions_and_preceding_state_changes():
    timeline = request_timeline.find_timeline(TEXT, 'a1')
    assert [line['ms'] for line in timeline] == [
        20_000,
        20_200,
        20_400,
        20_500,
    ]


def test_timeline_is_printed_with_relative_times(tmp_path, capsys):
    path = tmp_path / 'log'
    path.write_text('\n'.join(TEXT), 'utf-8')
    assert cli.explain('a1', log=path) == 0
    printed = capsys.readouterr().out.splitlines()
    assert printed[0].split()[:3] == ['-500.0', 'ms', 'endpoint-paused']
    assert printed[-1].split()[2:] == ['ended', 'request=a1', 'status=502']
    assert cli.explain('a9', log=path) == 1
