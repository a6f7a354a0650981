"""Reads the settings file that the platform provides for each process."""

import math
import os
import pathlib
import typing

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.gateway import settings

BOOT_VARIABLE = 'FOXTAILPICK_BOOT'
# Set by the deploy file, so that the metrics port is fixed.
METRICS_VARIABLE = 'FOXTAILPICK_METRICS_PORT'

# Bounds on the time until a change in the store is in force.
_CHANGE_BOUNDS = (
    'drain_ms',
    'config_apply_ms',
    'evacuation_ms',
    'revoke_ms',
)
DEFAULT_CHANGE_BOUND_MS = 2_000.0
MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def find_boot_file() -> pathlib.Path:
    """Return the path of the settings file.

    :raises errors.SettingsError: if the environment variable is not set.
    """
    path = os.environ.get(BOOT_VARIABLE)
    if not path:
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_UNREADABLE,
            f'expected the path of the settings file in {BOOT_VARIABLE}, '
            f'found none; set this variable',
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> settings.GatewaySettings:
    """Read and check the settings of a gateway.

    :param path: the settings file.
    :raises errors.SettingsError: if it cannot be used.
    """
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_UNREADABLE,
            f'expected a readable settings file at {path}, got {exc}',
        ) from exc
    return parse_settings(text, os.environ.get(METRICS_VARIABLE))


def parse_settings(
    text: str, metrics_port: str | None = None
) -> settings.GatewaySettings:
    """Decode the text of a settings file; unknown fields are ignored.

    :param text: lines of the form `a.b=value`.
    :param metrics_port: port for metrics; the first internal port if None.
    :raises errors.SettingsError: if a field is missing or invalid.
    """
    fields = dict(
        (name.strip(), value.strip())
        for name, found, value in (
            line.partition('=') for line in text.splitlines()
        )
        if found and not name.lstrip().startswith('#')
    )
    return settings.GatewaySettings(
        name=types.RouterId(_get(fields, 'node_name')),
        domain=types.FailureDomainId(_get(fields, 'zone')),
        listen=_get_address(fields, 'listen.frontend'),
        readiness=_get_address(fields, 'listen.readiness'),
        metrics=(
            _get(fields, 'ip'),
            _parse_port(METRICS_VARIABLE, metrics_port)
            if metrics_port
            else _get_first_port(fields),
        ),
        peers=(
            _get(fields, 'ip'),
            _parse_port('internal_ports', str(_get_first_port(fields) + 1)),
        ),
        store=_get_address(fields, 'platform.address'),
        # Shortest lease that the store grants.
        min_lease_ms=_get_number(fields, 'platform.ttl_min_ms', 1_000.0),
        change_bound_ms=min(
            _get_number(fields, f'bounds.{name}', DEFAULT_CHANGE_BOUND_MS)
            for name in _CHANGE_BOUNDS
        ),
        # The fields are in seconds, all internal durations in milliseconds.
        history_ms=_get_number(fields, 'platform.history_s', 20.0)
        * types.SECOND_MS,
        writes_per_s=_get_number(fields, 'platform.writes_per_s', 400.0),
        grace_ms=_get_number(fields, 'bounds.grace_s', 8.0) * types.SECOND_MS,
        retry_ratio=_get_number(fields, 'bounds.retry_budget_ratio', 0.2),
        # Retries that the whole fleet may make beyond the ratio.
        retry_extra=_get_number(fields, 'bounds.retry_budget_extra', 50.0),
        exposure_share=_get_number(fields, 'bounds.exposure_share', 0.1),
        exposure_slack=_get_number(fields, 'bounds.exposure_slack', 50.0),
        rollback_ms=_get_number(fields, 'bounds.rollback_ms', 5_000.0),
        # Share of a core, multiplied by the speed of that core.
        processor_share=_get_number(fields, 'limits.cpu_share', 1.0)
        * _get_number(fields, 'limits.cores', 1.0),
        max_sockets=int(_get_number(fields, 'limits.max_fds', 4_096.0)),
        memory_mb=_get_number(fields, 'limits.memory_mb', 300.0),
    )


def _get(fields: typing.Mapping[str, str], name: str) -> str:
    value = fields.get(name)
    if not value:
        raise errors.SettingsError(
            errors.ErrorCode.SETTINGS_KEY_MISSING,
            f'expected a value for {name}, found none; correct the settings',
        )
    return value


def _get_number(
    fields: typing.Mapping[str, str], name: str, default: float
) -> float:
    text = fields.get(name)
    if not text:
        return default
    try:
        number = float(text)
    except ValueError as exc:
        raise _make_invalid(name, 'a number', text) from exc
    if not math.isfinite(number):
        raise _make_invalid(name, 'a finite number', text)
    return number


def _get_address(
    fields: typing.Mapping[str, str], name: str
) -> tuple[str, int]:
    text = _get(fields, name)
    host, _, port = text.rpartition(':')
    if not host:
        raise _make_invalid(name, 'IP:PORT', text)
    return host, _parse_port(name, port)


def _get_first_port(fields: typing.Mapping[str, str]) -> int:
    text = _get(fields, 'internal_ports')
    return _parse_port('internal_ports', text.partition(',')[0])


def _parse_port(name: str, text: str) -> int:
    # Other scripts have digits too, which int() may not accept.
    if text.isascii() and text.isdigit() and len(text) <= _MAX_PORT_DIGITS:
        port = int(text)
        if 0 < port <= MAX_PORT:
            return port
    raise _make_invalid(name, f'a port up to {MAX_PORT}', text)


def _make_invalid(name: str, expected: str, got: str) -> errors.SettingsError:
    return errors.SettingsError(
        errors.ErrorCode.SETTINGS_VALUE_INVALID,
        f'expected {expected} for {name}, got {got[:80]!r}; correct the '
        f'settings',
    )
