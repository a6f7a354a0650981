"""Tests of the check of a configuration before it is sent."""

import json

import pytest

from foxtailpick.platform import config_check
from foxtailpick.platform import config_report
from foxtailpick.platform import items
from foxtailpick.tests import gateway_harness

ERROR = config_check.Severity.ERROR
NEVER = config_check.Severity.NEVER_MATCHES
CONTRADICTION = config_check.Severity.CONTRADICTION


def make_config(**changes):
    """Return a sound configuration with changes to its first entries."""
    routes = [
        gateway_harness.make_route('a', '/a/', 'safe', service='plain'),
        gateway_harness.make_route('b', '/b/', 'streaming', service='engine'),
    ]
    cfg = gateway_harness.make_config(3, routes)
    for path, value in changes.items():
        kind, name = path.split('__')
        cfg[kind][0][name] = value
    return cfg


def check(cfg):
    data = config_check.parse(json.dumps(cfg).encode())
    return {(item.severity, item.where) for item in config_check.check(data)}


def test_sound_configuration_has_no_findings():
    assert check(make_config()) == set()


@pytest.mark.parametrize(
    ('changes', 'severity', 'where'),
    [
        ({'routes__service': 'gone'}, ERROR, 'routes/a'),
        ({'routes__timeout_ms': 0}, ERROR, 'routes/a'),
        ({'routes__priority': 10}, ERROR, 'routes/a'),
        ({'routes__max_attempts': 0}, ERROR, 'routes/a'),
        ({'routes__name': 'b'}, ERROR, 'routes/b'),
        (
            {'routes__traffic_split': [{'service': 'plain', 'weight': 0}]},
            ERROR,
            'routes/a',
        ),
        ({'routes__prefix': '/a'}, NEVER, 'routes/a'),
        ({'routes__prefix': '/a?x=/'}, NEVER, 'routes/a'),
        ({'routes__prefix': '/b/'}, NEVER, 'routes/a'),
        ({'routes__host': 'chat.example:80'}, NEVER, 'routes/a'),
        ({'routes__service': 'engine'}, NEVER, 'services/plain'),
        ({'tenants__api_keys': []}, NEVER, 'tenants/guides'),
        ({'routes__target_latency_ms': 3_001}, CONTRADICTION, 'routes/a'),
        ({'routes__stream_resumption': True}, CONTRADICTION, 'routes/a'),
        (
            {'services__engine': {'slots': 101}},
            CONTRADICTION,
            'services/engine',
        ),
        ({'services__warmup_per_s': 2}, CONTRADICTION, 'services/engine'),
    ],
)
def test_fault_is_found(changes, severity, where):
    assert (severity, where) in check(make_config(**changes))


def test_key_of_two_accounts_is_found_and_not_shown():
    cfg = make_config()
    cfg['tenants'].append({'name': 'x', 'api_keys': [gateway_harness.KEY]})
    data = config_check.parse(json.dumps(cfg).encode())
    (finding,) = config_check.check(data)
    assert (finding.severity, finding.where) == (ERROR, 'tenants/x')
    assert gateway_harness.KEY not in finding.what


@pytest.mark.parametrize(
    'text', [b'{', b'[]', b'{}', b'{"version":1,"routes":[{"name":""}]}']
)
def test_unusable_configuration_is_rejected(text):
    with pytest.raises(items.ItemError):
        config_check.parse(text)


def test_differences_are_named_by_field():
    after = make_config(routes__timeout_ms=5, tenants__api_keys=['other-key'])
    found = config_check.compare(make_config(), after)
    where = [item.where.split('~')[0] for item in found]
    assert [
        (name, item.before, item.after)
        for name, item in zip(where, found, strict=True)
    ] == [
        ('routes/a/timeout_ms', '3000', '5'),
        ('tenants/guides/api_keys/key-', 'present', None),
        ('tenants/guides/api_keys/othe', None, 'present'),
    ]


def write(path, cfg):
    path.write_text(json.dumps(cfg))
    return path


@pytest.mark.parametrize(('version', 'status'), [(3, 1), (4, 0)])
def test_exit_status_tells_whether_it_may_be_sent(
    tmp_path, capsys, version, status
):
    old = write(tmp_path / 'old', make_config())
    new = write(tmp_path / 'new', {**make_config(), 'version': version})
    assert config_report.print_report(new, old, True) == status
    lines = [
        json.loads(line) for line in capsys.readouterr().out.split('\n')[:-1]
    ]
    assert all(line['kind'] and line['where'] for line in lines)
    assert len(lines) == 1


def test_unreadable_file_has_an_exit_status_of_its_own(tmp_path, capsys):
    (tmp_path / 'bad').write_text('{')
    for name in ('bad', 'missing'):
        assert config_report.print_report(tmp_path / name, None, False) == 2
    assert 'expected JSON' in capsys.readouterr().err
