"""Tests of the configuration model."""

import pytest

from foxtailpick.core import configuration
from foxtailpick.core import errors

DIGEST = configuration.digest_credential('guide:s3cret').hex()
TEXT = f"""
[domain alue-yksi]
region = pohjola
[domain alue-kaksi]
region = pohjola
state = out-of-service
[partner outfitter]
share = 0.6
[partner warden]
share = 0.4
[model malli]
[service malli-palvelin]
kind = model
models = malli
[service lupa-sovellus]
kind = plain
once_paths = /bookings
[account guide]
partner = outfitter
credential_digest = {DIGEST}
endpoints = m1, m2
priority = urgent
"""


@pytest.fixture
def cfg():
    return configuration.Configuration.from_ini(TEXT, 7)


def test_round_trip_through_ini(cfg):
    again = configuration.Configuration.from_ini(cfg.to_ini(), 7)
    assert again == cfg


@pytest.mark.parametrize(
    ('domain', 'expected'),
    [('alue-yksi', True), ('alue-kaksi', False), ('alue-kolme', False)],
)
def test_is_domain_in_service(cfg, domain, expected):
    assert cfg.is_domain_in_service(domain) is expected


@pytest.mark.parametrize(
    ('credential', 'is_found'),
    [('guide:s3cret', True), ('guide:other', False), ('s3cret', False)],
)
def test_find_account_by_credential(cfg, credential, is_found):
    found = cfg.find_account_by_credential(credential)
    assert (found is not None) is is_found
    assert not is_found or not found.may_use_endpoint('m3')


def test_once_paths(cfg):
    service = cfg.services['lupa-sovellus']
    assert not service.is_idempotent_path('/bookings/7')
    assert service.is_idempotent_path('/huts')


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('share = 0.4', 'share = 0.5', 'add up to 1'),
        ('share = 0.4', 'share = nan', '[partner warden] share'),
        ('models = malli', 'models = other', 'listed models'),
        ('partner = outfitter', 'partner = nobody', 'listed partner'),
        ('region = pohjola', 'regoin = pohjola', "got 'regoin'"),
        ('[domain alue-yksi]', '[zone alue-yksi]', '[zone alue-yksi] kind'),
        (DIGEST, 'abc', 'credential_digest'),
        ('priority = urgent', 'priority = 9', 'urgent, normal or batch'),
    ],
)
def test_fault_names_section_key_and_value(old, new, named):
    with pytest.raises(errors.PatchError) as caught:
        configuration.Configuration.from_ini(TEXT.replace(old, new, 1))
    assert caught.value.code is errors.ErrorCode.PATCH_INVALID
    assert named in caught.value.message


@pytest.mark.parametrize('text', ['x = 1', '[domain a]\n[domain a]', '[a'])
def test_malformed_text(text):
    with pytest.raises(errors.PatchError) as caught:
        configuration.Configuration.from_ini(text)
    assert caught.value.code is errors.ErrorCode.PATCH_MALFORMED
