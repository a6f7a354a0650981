"""Tests of settings and of the example files."""

import pathlib

import pytest

from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import settings
from foxtailpick.core import units

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
ROUTER = """
[node]
id = router-1
region = pohjola
failure_domain = alue-yksi
[listen]
host = 127.0.0.1
port = 0
[store]
urls = http://127.0.0.1:2379
[membership]
url = http://127.0.0.1:2380
"""


def _write(tmp_path, text):
    path = tmp_path / 'router.ini'
    path.write_text(text)
    return path


def test_defaults_fill_in(tmp_path):
    cfg = settings.RouterSettings.from_file(_write(tmp_path, ROUTER))
    assert cfg.node.failure_domain == 'alue-yksi'
    assert cfg.limits.load_multiple == 1.25


@pytest.mark.parametrize(
    ('old', 'new', 'code', 'words'),
    [
        ('id = router-1', '', 'FTP-104', ['[node] id']),
        ('port = 0', 'port = 70000', 'FTP-105', ['[listen] port', '70000']),
        ('port = 0', 'port = 0\nprot = 1', 'FTP-103', ['prot', 'admin_port']),
        ('[membership]', '[members]', 'FTP-106', ['[members]']),
        ('host = 127.0.0.1', 'host = router', 'FTP-105', ['an IP address']),
        ('[listen]', '[limits]\nsilence = 3\n[listen]', 'FTP-105', ['ms']),
        ('[listen]', '[listen', 'FTP-101', []),
    ],
)
def test_invalid_settings_name_their_location(tmp_path, old, new, code, words):
    path = _write(tmp_path, ROUTER.replace(old, new))
    with pytest.raises(errors.SettingsError) as caught:
        settings.RouterSettings.from_file(path)
    assert caught.value.code.value == code
    for word in [str(path), *words]:
        assert word in caught.value.message


def test_missing_section_is_named(tmp_path):
    text = ROUTER.split('[membership]')[0]
    with pytest.raises(errors.SettingsError) as caught:
        settings.RouterSettings.from_file(_write(tmp_path, text))
    assert caught.value.code is errors.ErrorCode.SETTINGS_SECTION_MISSING


@pytest.mark.parametrize('path', sorted(EXAMPLES.rglob('node-*.ini')))
def test_examples_are_complete(path):
    kind = settings.detect_settings_class(path)
    assert kind.from_file(path).node.id in path.stem


@pytest.mark.parametrize('path', sorted(EXAMPLES.rglob('config.ini')))
def test_example_configurations_are_valid(path):
    cfg = configuration.Configuration.from_ini(path.read_text())
    assert len(cfg.accounts) == 10


@pytest.mark.parametrize(
    ('text', 'expected'), [('250 ms', 250.0), ('3s', 3_000.0), ('1 h', 3.6e6)]
)
def test_parse_duration(text, expected):
    assert units.parse_duration_ms(text) == expected


@pytest.mark.parametrize('text', ['3', 's', '-3 s', '3 KB', ''])
def test_parse_duration_rejects(text):
    with pytest.raises(ValueError, match='units ms'):
        units.parse_duration_ms(text)
