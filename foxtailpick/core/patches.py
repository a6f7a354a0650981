"""Parsing, validation and application of operators' patches."""

import dataclasses
import hashlib
import typing

from foxtailpick.core import account_table
from foxtailpick.core import config_ini
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import types

MAX_PATCH_BYTES = 400_000
MAX_CHUNKS_PER_PATCH = 96
PATCH_SECTION = 'patch'

_HEADER_KEYS = ('base', 'id', 'author', 'reason')


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A patch as submitted.

    :param patch_id: id chosen by the operator, the same on resubmission.
    :param base: the number that the patch is based on.
    :param author: the operator who submits it.
    :param reason: the reason given.
    :param sections: the items to set or remove.
    :param digest: hash of the text, to detect reuse of an id.
    """

    patch_id: types.PatchId
    base: types.ConfigNumber
    author: types.OperatorId
    reason: str
    sections: tuple[config_ini.Section, ...]
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ItemChange:
    """An item of the configuration that is set or removed.

    :param kind: kind of the item, such as `account`.
    :param name: its id.
    :param item: its new state, None if removed.
    """

    kind: str
    name: str
    item: typing.Any | None


def parse_patch(text: str) -> Patch:
    """Parse a patch.

    :param text: INI text with one `[patch]` section and at least one item;
        the key `remove = yes`, alone in a section, removes its item.
    :raises errors.PatchError: with code `PATCH_MALFORMED` or
        `PATCH_INVALID`.
    """
    if len(text.encode()) > MAX_PATCH_BYTES:
        raise config_ini.make_error(
            '[patch]',
            'text',
            f'at most {MAX_PATCH_BYTES} bytes',
            f'{len(text.encode())} bytes',
        )
    sections = config_ini.read_sections(text)
    headers = [item for item in sections if item.kind == PATCH_SECTION]
    items = tuple(item for item in sections if item.kind != PATCH_SECTION)
    if len(headers) != 1 or headers[0].name or not items:
        actual = ', '.join(item.title for item in sections)
        raise config_ini.make_error(
            '[patch]', 'sections', 'one [patch] and at least one item', actual
        )
    return _build_patch(headers[0], items, text)


def _build_patch(
    header: config_ini.Section,
    items: tuple[config_ini.Section, ...],
    text: str,
) -> Patch:
    if sorted(header.values) != sorted(_HEADER_KEYS):
        expected = f'the keys {", ".join(_HEADER_KEYS)}'
        actual = ', '.join(header.values)
        raise config_ini.make_error(header.title, 'keys', expected, actual)
    base, patch_id, author, reason = (
        header.values[key].strip() for key in _HEADER_KEYS
    )
    if not (base.isascii() and base.isdigit()):
        raise config_ini.make_error(
            header.title, 'base', 'the number of a configuration', base
        )
    for key, value in (('id', patch_id), ('author', author)):
        config_ini.check_name(
            config_ini.Section(f'{PATCH_SECTION} {key}', value, {})
        )
    if not reason:
        raise config_ini.make_error(header.title, 'reason', 'a text', reason)
    return Patch(
        types.PatchId(patch_id),
        types.ConfigNumber(int(base)),
        types.OperatorId(author),
        reason,
        items,
        hashlib.blake2b(text.encode(), digest_size=16).digest(),
    )


def find_needed_chunks(
    cfg: configuration.Configuration, patch: Patch
) -> list[int]:
    """Return the indexes of chunks that checking a patch requires.

    :param cfg: the current configuration, loaded in part.
    :param patch: the patch.
    """
    table = account_table.AccountTable.from_mapping(cfg.accounts)
    unloaded = table.find_unloaded()
    if any(_is_partner_removal(section) for section in patch.sections):
        return unloaded
    touched = {
        account_table.find_chunk_index(types.AccountId(section.name))
        for section in patch.sections
        if section.kind == 'account'
    }
    return sorted(touched.intersection(unloaded))


def _is_partner_removal(section: config_ini.Section) -> bool:
    return section.kind == 'partner' and section.is_removal


def check_base(cfg: configuration.Configuration, patch: Patch) -> None:
    """Check that a patch is based on the current number.

    :raises errors.PatchError: with code `PATCH_OUTDATED`.
    """
    if patch.base == cfg.number:
        return
    raise errors.PatchError(
        errors.ErrorCode.PATCH_OUTDATED,
        f'expected a patch against number {cfg.number}, got one against '
        f'{patch.base}; review the changes since and submit a new patch',
    )


def plan_changes(
    cfg: configuration.Configuration, patch: Patch
) -> tuple[ItemChange, ...]:
    """Validate a whole patch and return its changes.

    :param cfg: the current configuration.
    :param patch: the patch.
    :raises errors.PatchError: if it is outdated or invalid.
    :raises errors.ConfigError: if a chunk it needs is not loaded.
    """
    check_base(cfg, patch)
    changes = tuple(_plan_change(cfg, section) for section in patch.sections)
    _check_spread(changes)
    _check_result(apply_changes(cfg, changes), changes)
    return changes


def _plan_change(
    cfg: configuration.Configuration, section: config_ini.Section
) -> ItemChange:
    kind = configuration.find_kind(section)
    present = getattr(cfg, configuration.ATTRIBUTES[kind.name])
    old = present.get(section.name)
    if not section.is_removal:
        item = config_ini.build_item(kind, section, old)
        return ItemChange(kind.name, section.name, item)
    if dict(section.values) != {config_ini.REMOVE_KEY: 'yes'}:
        actual = ', '.join(f'{k} = {v}' for k, v in section.values.items())
        raise config_ini.make_error(
            section.title, config_ini.REMOVE_KEY, 'remove = yes alone', actual
        )
    if old is None:
        raise config_ini.make_error(
            section.title, config_ini.REMOVE_KEY, 'a listed item', 'none'
        )
    return ItemChange(kind.name, section.name, None)


def _check_spread(changes: typing.Sequence[ItemChange]) -> None:
    touched = {
        account_table.find_chunk_index(types.AccountId(change.name))
        for change in changes
        if change.kind == 'account'
    }
    if len(touched) > MAX_CHUNKS_PER_PATCH:
        raise config_ini.make_error(
            '[patch]',
            'accounts',
            f'accounts in at most {MAX_CHUNKS_PER_PATCH} of '
            f'{account_table.CHUNKS} chunks, as one store transaction holds',
            f'{len(touched)} chunks',
        )


def _check_result(
    cfg: configuration.Configuration, changes: typing.Sequence[ItemChange]
) -> None:
    configuration.check_shared(cfg)
    is_partner_removed = False
    for change in changes:
        if change.kind == 'account' and change.item is not None:
            configuration.check_account(cfg, change.item)
        if change.kind == 'partner' and change.item is None:
            is_partner_removed = True
    if is_partner_removed:
        configuration.check_whole(cfg)


def apply_changes(
    cfg: configuration.Configuration, changes: typing.Sequence[ItemChange]
) -> configuration.Configuration:
    """Return the next configuration.

    :param cfg: the current one, with the affected chunks loaded.
    :param changes: validated changes.
    """
    accounts = {
        types.AccountId(change.name): change.item
        for change in changes
        if change.kind == 'account'
    }
    table = account_table.AccountTable.from_mapping(cfg.accounts)
    return replace_shared(cfg, changes, table.replace_accounts(accounts))


def replace_shared(
    cfg: configuration.Configuration,
    changes: typing.Sequence[ItemChange],
    accounts: account_table.AccountTable,
) -> configuration.Configuration:
    """Return the next configuration, with the given accounts.

    :param cfg: the current one.
    :param changes: validated changes; those of accounts are ignored.
    :param accounts: the accounts of the next configuration.
    """
    replaced: dict[str, typing.Any] = {'accounts': accounts}
    for change in changes:
        if change.kind == 'account':
            continue
        attribute = configuration.ATTRIBUTES[change.kind]
        if attribute not in replaced:
            replaced[attribute] = dict(getattr(cfg, attribute))
        if change.item is None:
            del replaced[attribute][change.name]
        else:
            replaced[attribute][change.name] = change.item
    number = types.ConfigNumber(cfg.number + 1)
    return dataclasses.replace(cfg, number=number, **replaced)


def apply_patch(
    cfg: configuration.Configuration, patch: Patch
) -> configuration.Configuration:
    """Validate a whole patch and return the next configuration.

    :param cfg: the current one.
    :param patch: the patch.
    :raises errors.PatchError: if it is outdated or invalid.
    :raises errors.ConfigError: if a chunk it needs is not loaded.
    """
    return apply_changes(cfg, plan_changes(cfg, patch))
