"""Process settings, read from an INI file and validated on reading.

Each section is a frozen dataclass. Field metadata hold the function that
parses the value; it raises ValueError with a description of what it expects.
"""

import configparser
import dataclasses
import ipaddress
import pathlib
import re
import typing
from urllib import parse

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import units

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_MAX_PORT = 65_535


def _option(
    parse_text: typing.Callable[[str], typing.Any],
    default: typing.Any = dataclasses.MISSING,
) -> typing.Any:
    return dataclasses.field(default=default, metadata={'parse': parse_text})


def _parse_name(text: str) -> str:
    if _NAME.fullmatch(text) is None:
        raise ValueError('a name of letters, digits, dots, dashes and _')
    return text


def _parse_address(text: str) -> str:
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as exc:
        raise ValueError('an IP address') from exc


def _parse_port(text: str) -> int:
    if not text.isdecimal() or int(text) > _MAX_PORT:
        raise ValueError(f'a port from 0 to {_MAX_PORT}')
    return int(text)


def _parse_url(text: str) -> str:
    parts = parse.urlsplit(text)
    if parts.scheme != 'http' or not parts.hostname:
        raise ValueError('a URL such as http://127.0.0.1:2379')
    return text.rstrip('/')


def _parse_urls(text: str) -> tuple[str, ...]:
    urls = tuple(_parse_url(item) for item in text.split())
    if not urls:
        raise ValueError('URLs separated by spaces')
    return urls


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(_parse_name(item) for item in text.split())


def _parse_kind(text: str) -> types.EndpointKind:
    try:
        return types.EndpointKind(text)
    except ValueError as exc:
        raise ValueError('model or plain') from exc


def _parse_bool(text: str) -> bool:
    if text not in ('true', 'false'):
        raise ValueError('true or false')
    return text == 'true'


def _parse_positive(text: str) -> float:
    try:
        value = float(text)
    except ValueError as exc:
        raise ValueError('a number above 0') from exc
    if not 0 < value < float('inf'):
        raise ValueError('a number above 0')
    return value


def _parse_multiple(text: str) -> float:
    value = _parse_positive(text)
    if value <= 1:
        raise ValueError('a number above 1')
    return value


def _parse_key_prefix(text: str) -> str:
    if not (text.startswith('/') and text.endswith('/')):
        raise ValueError('a key prefix that begins and ends with /')
    return text


def _parse_count(text: str) -> int:
    if not text.isdecimal() or int(text) == 0:
        raise ValueError('a whole number above 0')
    return int(text)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Section `[node]`: identity and location of this process."""

    id: str = _option(_parse_name)
    region: types.RegionId = _option(_parse_name)
    failure_domain: types.FailureDomainId = _option(_parse_name)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Section `[listen]`: listening addresses; port 0 selects a free port."""

    host: str = _option(_parse_address)
    port: int = _option(_parse_port)
    admin_port: int = _option(_parse_port, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Section `[store]`: the platform's key-value store."""

    urls: tuple[str, ...] = _option(_parse_urls)
    prefix: str = _option(_parse_key_prefix, '/foxtailpick/')
    timeout: float = _option(units.parse_duration_ms, 2_000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Section `[membership]`: the platform's membership list."""

    url: str = _option(_parse_url)
    poll_interval: float = _option(units.parse_duration_ms, 1_000.0)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Section `[limits]`: bounds on load, latency and resources.

    :param load_multiple: highest load of an endpoint over the pool's mean.
    :param default_deadline: deadline of a request that gives none.
    :param first_token: time to the first token of an idle warm engine.
    :param token_interval: expected time between two tokens of a stream.
    :param silence: time without progress before an attempt is probed.
    :param resume_grace: how long a stream without a reader may be resumed.
    :param claim_interval: mean time between two writes of claims.
    :param shutdown: longest wait for requests in flight on shutdown.
    :param replay: bytes kept of each stream for replay.
    :param max_links: maximum number of links that a router keeps open.
    :param bodies: bytes kept of the bodies of all open requests together.
    :param max_connections: maximum number of connections that the clients
        of a process keep open.
    """

    load_multiple: float = _option(_parse_multiple, 1.25)
    default_deadline: float = _option(units.parse_duration_ms, 30_000.0)
    first_token: float = _option(units.parse_duration_ms, 340.0)
    token_interval: float = _option(units.parse_duration_ms, 38.0)
    silence: float = _option(units.parse_duration_ms, 1_500.0)
    resume_grace: float = _option(units.parse_duration_ms, 5_000.0)
    claim_interval: float = _option(units.parse_duration_ms, 20.0)
    shutdown: float = _option(units.parse_duration_ms, 30_000.0)
    replay: int = _option(units.parse_size_bytes, 262_144)
    max_links: int = _option(_parse_count, 256)
    bodies: int = _option(units.parse_size_bytes, 64_000_000)
    max_connections: int = _option(_parse_count, 2_048)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Section `[endpoint]`: the server behind a sidecar."""

    service: types.ServiceId = _option(_parse_name)
    kind: types.EndpointKind = _option(_parse_kind)
    url: str = _option(_parse_url)
    models: tuple[types.ModelId, ...] = _option(_parse_names, ())
    capacity: float = _option(_parse_positive, 1.0)
    max_running: int = _option(_parse_count, 16)
    checks_fencing: bool = _option(_parse_bool, False)


@dataclasses.dataclass(frozen=True, slots=True)
class WeightSettings:
    """Section `[weights]`: limits of the platform's weight store.

    :param max_loads: maximum number of concurrent loads.
    :param load_time: maximum duration of a load.
    :param peers: number of endpoints that may want to load at once.
    """

    max_loads: int = _option(_parse_count, 4)
    load_time: float = _option(units.parse_duration_ms, 60_000.0)
    peers: int = _option(_parse_count, 72)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a router."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    membership: MembershipSettings
    limits: LimitSettings

    @classmethod
    def from_file(cls, path: str | pathlib.Path) -> 'RouterSettings':
        """Read and validate a router's settings.

        :param path: the INI file.
        :raises errors.SettingsError: naming the file, the section, the key,
            the expected and the actual value.
        """
        return _read_settings(cls, pathlib.Path(path))


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of a sidecar."""

    node: NodeSettings
    listen: ListenSettings
    store: StoreSettings
    membership: MembershipSettings
    endpoint: EndpointSettings
    limits: LimitSettings
    weights: WeightSettings = WeightSettings()

    @classmethod
    def from_file(cls, path: str | pathlib.Path) -> 'SidecarSettings':
        """Read and validate a sidecar's settings.

        :param path: the INI file.
        :raises errors.SettingsError: naming the file, the section, the key,
            the expected and the actual value.
        """
        return _read_settings(cls, pathlib.Path(path))


_Settings = typing.TypeVar('_Settings')


def detect_settings_class(path: str | pathlib.Path) -> type:
    """Return the settings class that a file is meant for.

    :param path: the INI file.
    :returns: `SidecarSettings` if it has a section `[endpoint]`, else
        `RouterSettings`.
    :raises errors.SettingsError: if the file cannot be read.
    """
    parser = _read_parser(pathlib.Path(path))
    if parser.has_section('endpoint'):
        return SidecarSettings
    return RouterSettings


def _read_settings(kind: type[_Settings], path: pathlib.Path) -> _Settings:
    parser = _read_parser(path)
    hints = typing.get_type_hints(kind)
    for name in parser.sections():
        if name not in hints:
            raise errors.SettingsError(
                errors.ErrorCode.SETTINGS_SECTION_UNKNOWN,
                f'{path}: expected the sections {", ".join(hints)}, '
                f'got [{name}]; remove or rename it',
            )
    sections = {
        name: _read_section(section, parser, name, path)
        for name, section in hints.items()
    }
    return kind(**sections)


def _read_parser(path: pathlib.Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text('utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_UNREADABLE,
            f'{path}: expected a readable INI file, got {exc}; fix the file',
        ) from exc
    return parser


def _read_section(
    kind: type,
    parser: configparser.ConfigParser,
    name: str,
    path: pathlib.Path,
) -> typing.Any:
    fields = {field.name: field for field in dataclasses.fields(kind)}
    given = dict(parser[name]) if parser.has_section(name) else {}
    for key in given:
        if key not in fields:
            raise errors.SettingsError(
                errors.ErrorCode.SETTINGS_KEY_UNKNOWN,
                f'{path}: [{name}] {key}: expected one of '
                f'{", ".join(fields)}; remove or rename it',
            )
    for key, field in fields.items():
        if field.default is dataclasses.MISSING and key not in given:
            _raise_missing(parser, path, name, key)
    values = {
        key: _parse_value(fields[key], text, f'{path}: [{name}] {key}')
        for key, text in given.items()
    }
    return kind(**values)


def _raise_missing(
    parser: configparser.ConfigParser,
    path: pathlib.Path,
    section: str,
    key: str,
) -> typing.NoReturn:
    if not parser.has_section(section):
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_SECTION_MISSING,
            f'{path}: expected a section [{section}], got none; add it',
        )
    raise errors.SettingsError(
        errors.ErrorCode.SETTINGS_KEY_MISSING,
        f'{path}: [{section}] {key}: expected a value, got none; add it',
    )


def _parse_value(
    field: dataclasses.Field, text: str, location: str
) -> typing.Any:
    try:
        return field.metadata['parse'](text)
    except ValueError as exc:
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_VALUE_INVALID,
            f'{location}: expected {exc}, got {text!r}; correct the value',
        ) from exc
