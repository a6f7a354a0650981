"""Tests of patches and of the chunked account table."""

import pytest

from foxtailpick.core import account_table
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import patches

DIGEST = configuration.digest_credential('guide:s').hex()
BASE = f"""
[domain kandy-a]
region = central-hills
[partner a]
share = 0.5
[partner b]
share = 0.5
[account guide]
partner = b
credential_digest = {DIGEST}
share = 2
"""
HEAD = '[patch]\nbase = 1\nid = p1\nauthor = op\nreason = test\n'


@pytest.fixture
def cfg():
    return configuration.Configuration.from_ini(BASE)


def apply_text(cfg, body, head=HEAD):
    return patches.apply_patch(cfg, patches.parse_patch(head + body))


def test_patch_sets_only_its_keys(cfg):
    after = apply_text(cfg, '[account guide]\npriority = batch\n')
    assert after.number == 2
    assert after.accounts['guide'].share == 2.0
    assert after.accounts['guide'].priority.name == 'BATCH'
    assert cfg.accounts['guide'].priority.name == 'NORMAL'


def test_domain_is_taken_out_and_partner_split_is_renegotiated(cfg):
    body = '[domain kandy-a]\nstate = out-of-service\n'
    shares = '[partner a]\nshare = 0.7\n[partner b]\nshare = 0.3\n'
    after = apply_text(cfg, body + shares)
    assert not after.is_domain_in_service('kandy-a')
    assert after.partners['a'].share == 0.7


@pytest.mark.parametrize(
    'body',
    [
        '[partner a]\nshare = 0.7\n',
        '[partner b]\nremove = yes\n[partner a]\nshare = 1\n',
        '[account other]\nremove = yes\n',
        '[account guide]\nremove = yes\nshare = 1\n',
        '[account guide]\nremove = no\n',
        '[account other]\npartner = a\n',
        '[account guide]\npartner = c\n',
        '[service s]\nkind = model\nmodels = none\n',
        '[account -x]\nremove = yes\n',
    ],
)
def test_invalid_patch_changes_nothing(cfg, body):
    with pytest.raises(errors.PatchError) as caught:
        apply_text(cfg, body)
    assert caught.value.code is errors.ErrorCode.PATCH_INVALID


@pytest.mark.parametrize(
    'head',
    [
        '',
        '[patch]\nbase = 1\n',
        HEAD.replace('base = 1', 'base = -1'),
        HEAD.replace('id = p1', 'id ='),
        HEAD.replace('reason = test', 'reason ='),
        HEAD + 'extra = 1\n',
    ],
)
def test_bad_header(cfg, head):
    with pytest.raises(errors.PatchError) as caught:
        apply_text(cfg, '[account guide]\nremove = yes\n', head)
    assert caught.value.code is errors.ErrorCode.PATCH_INVALID


@pytest.mark.parametrize('base', [0, 2])
def test_patch_against_another_number_is_not_merged(cfg, base):
    head = HEAD.replace('base = 1', f'base = {base}')
    with pytest.raises(errors.PatchError) as caught:
        apply_text(cfg, '[account guide]\nremove = yes\n', head)
    assert caught.value.code is errors.ErrorCode.PATCH_OUTDATED
    assert 'number 1' in caught.value.message


def test_patch_over_too_many_chunks(cfg):
    body = ''.join(
        f'[account n{i}]\npartner = a\ncredential_digest = {DIGEST}\n'
        for i in range(600)
    )
    with pytest.raises(errors.PatchError) as caught:
        apply_text(cfg, body)
    assert 'chunks' in caught.value.message


def test_unloaded_chunk_is_an_error_and_not_an_unknown_account(cfg):
    full = account_table.AccountTable.from_mapping(cfg.accounts)
    table = account_table.AccountTable.from_hashes(full.hashes)
    with pytest.raises(errors.ConfigError) as caught:
        table.get('guide')
    assert caught.value.code is errors.ErrorCode.CONFIG_UNAVAILABLE
    index = account_table.find_chunk_index('guide')
    with pytest.raises(errors.ConfigError) as caught:
        table.with_chunk(index, b'forged')
    assert caught.value.code is errors.ErrorCode.CONFIG_CORRUPT
    loaded = table.with_chunk(index, full.read_chunk(index))
    assert loaded['guide'] == cfg.accounts['guide']
    assert loaded == full


def test_remote_changes_are_checked_in_loaded_chunks(cfg):
    full = account_table.AccountTable.from_mapping(cfg.accounts)
    after = full.replace_accounts({'guide': None})
    index = account_table.find_chunk_index('guide')
    hashes = {index: after.hashes[index]}
    assert full.apply_remote_changes({'guide': None}, hashes) == after
    lazy = account_table.AccountTable.from_hashes(full.hashes)
    assert lazy.apply_remote_changes({'guide': None}, hashes) == after
    with pytest.raises(errors.ConfigError):
        full.apply_remote_changes({}, hashes)
