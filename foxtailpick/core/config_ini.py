"""Parsing and rendering of INI sections with declared fields.

Initial configurations and patches share the section format: `[KIND NAME]`
with one key per field.
"""

import configparser
import dataclasses
import enum
import math
import re
import typing

from foxtailpick.core import errors

REMOVE_KEY = 'remove'
MAX_NAME_CHARS = 128

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/@-]*')


class _Required(enum.Enum):
    REQUIRED = 'required'


REQUIRED = _Required.REQUIRED


def _return_unchanged(value: typing.Any) -> typing.Any:
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One key of a section.

    :param name: the key, and the attribute of the item.
    :param expected: description of a valid value, for error messages.
    :param parse: converts text to a value; raises ValueError or KeyError if
        the text is invalid.
    :param render: converts a value to text.
    :param default: value of a new item that lacks the key.
    :param unpack: converts a value packed by `pack_item` back.
    """

    name: str
    expected: str
    parse: typing.Callable[[str], typing.Any]
    render: typing.Callable[[typing.Any], str]
    default: typing.Any = REQUIRED
    unpack: typing.Callable[[typing.Any], typing.Any] = _return_unchanged


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of section.

    :param name: first word of the section header.
    :param build: class of the item; its first argument is the name.
    :param fields: the keys, in the order of the other arguments.
    """

    name: str
    build: typing.Callable[..., typing.Any]
    fields: tuple[Field, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A parsed section.

    :param kind: first word of its header.
    :param name: the rest of its header, empty for `[patch]`.
    :param values: the text of each key.
    """

    kind: str
    name: str
    values: typing.Mapping[str, str]

    @property
    def title(self) -> str:
        """Return the header of the section as written."""
        return f'[{self.kind} {self.name}]' if self.name else f'[{self.kind}]'

    @property
    def is_removal(self) -> bool:
        """Tell whether the section removes its item."""
        return REMOVE_KEY in self.values


def make_error(
    title: str, key: str, expected: str, actual: str
) -> errors.PatchError:
    """Return the error for an invalid value.

    :param title: header of the section.
    :param key: the key.
    :param expected: description of a valid value.
    :param actual: the actual value.
    """
    return errors.PatchError(
        errors.ErrorCode.PATCH_INVALID,
        f'{title} {key}: expected {expected}, got {actual!r}; '
        f'correct it and submit the whole patch again',
    )


def read_sections(text: str) -> list[Section]:
    """Parse INI text into sections.

    :param text: INI text, without interpolation or a section of defaults.
    :raises errors.PatchError: with code `PATCH_MALFORMED`.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=('=',), default_section=''
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        raise errors.PatchError(
            errors.ErrorCode.PATCH_MALFORMED,
            f'expected INI sections, got: {exc}; correct the text',
        ) from exc
    return [_read_section(parser, header) for header in parser.sections()]


def _read_section(parser: configparser.ConfigParser, header: str) -> Section:
    kind, _, name = header.partition(' ')
    return Section(kind, name.strip(), dict(parser.items(header)))


def check_name(section: Section) -> None:
    """Check the name in a section header.

    :raises errors.PatchError: if it is empty, too long or has invalid
        characters.
    """
    is_short = len(section.name) <= MAX_NAME_CHARS
    if is_short and _NAME.fullmatch(section.name):
        return
    expected = (
        f'1 to {MAX_NAME_CHARS} letters, digits or any of . _ / @ - '
        f'starting with a letter or digit'
    )
    raise make_error(section.title, 'name', expected, section.name)


def build_item(
    kind: Kind, section: Section, old: typing.Any = None
) -> typing.Any:
    """Build an item from a section.

    :param kind: the kind of the section.
    :param section: the section.
    :param old: the current item, whose other fields are kept.
    :raises errors.PatchError: if a key is unknown or missing, or a value is
        invalid.
    """
    check_name(section)
    known = {field.name for field in kind.fields}
    for key in section.values:
        if key not in known:
            expected = f'one of {", ".join(sorted(known))}'
            raise make_error(section.title, 'key', expected, key)
    values = [_pick_value(section, field, old) for field in kind.fields]
    return kind.build(section.name, *values)


def _pick_value(section: Section, field: Field, old: typing.Any) -> typing.Any:
    text = section.values.get(field.name)
    if text is not None:
        return _parse_value(section, field, text)
    if old is not None:
        return getattr(old, field.name)
    if field.default is REQUIRED:
        raise make_error(section.title, field.name, field.expected, 'no key')
    return field.default


def _parse_value(section: Section, field: Field, text: str) -> typing.Any:
    try:
        return field.parse(text.strip())
    except (ValueError, KeyError) as exc:
        raise make_error(
            section.title, field.name, field.expected, text
        ) from exc


def render_item(kind: Kind, name: str, item: typing.Any) -> str:
    """Render an item as an INI section.

    :param kind: its kind.
    :param name: its name.
    :param item: the item.
    """
    lines = [f'[{kind.name} {name}]']
    for field in kind.fields:
        text = field.render(getattr(item, field.name))
        lines.append(f'{field.name} = {text}'.rstrip())
    return '\n'.join(lines) + '\n'


def pack_item(kind: Kind, item: typing.Any) -> list[typing.Any]:
    """Return the fields of an item as CBOR-compatible values.

    :param kind: its kind.
    :param item: the item.
    """
    return [_pack_value(getattr(item, field.name)) for field in kind.fields]


def _pack_value(value: typing.Any) -> typing.Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    return value


def unpack_item(
    kind: Kind, name: str, packed: typing.Sequence[typing.Any]
) -> typing.Any:
    """Build an item from its packed fields.

    :param kind: its kind.
    :param name: its name.
    :param packed: result of `pack_item`.
    :raises ValueError: if the number of fields or a value is wrong.
    """
    pairs = zip(kind.fields, packed, strict=True)
    values = [field.unpack(value) for field, value in pairs]
    return kind.build(name, *values)


def parse_text(text: str) -> str:
    """Check that a text is not empty, and return it."""
    if not text:
        raise ValueError('expected a non-empty text')
    return text


def parse_positive(text: str) -> float:
    """Parse a finite number above zero."""
    value = float(text)
    if not math.isfinite(value) or value <= 0:
        raise ValueError('expected a finite number above 0')
    return value


def parse_names(text: str) -> frozenset[str]:
    """Parse names separated by commas or white space."""
    names = text.replace(',', ' ').split()
    return frozenset(names)


def render_names(names: frozenset[str]) -> str:
    """Render names in order, separated by commas."""
    return ', '.join(sorted(names))


def parse_flag(text: str) -> bool:
    """Parse `yes` or `no`."""
    return {'yes': True, 'no': False}[text]


def render_flag(is_set: bool) -> str:
    """Render a flag as `yes` or `no`."""
    return 'yes' if is_set else 'no'
