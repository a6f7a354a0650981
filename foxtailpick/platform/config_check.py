"""Checks a configuration before the operators write it to the store.

The store accepts whatever is well-formed. A route that can never match, or a
target above its own timeout, would show only once callers fail.
"""

import collections
import dataclasses
import enum
import json
import math
import typing
import zlib

from foxtailpick.core.dispatch import model
from foxtailpick.platform import items

_Fields = typing.Mapping[str, typing.Any]
_MAX_PRIORITY = 9
# Characters of a key that a finding names; a checksum stands for the rest.
_SHOWN_KEY_CHARS = 4
_LIST_NAMES = ('routes', 'services', 'tenants')


class Severity(enum.Enum):
    """What a finding means for sending the configuration."""

    ERROR = 'error'
    NEVER_MATCHES = 'never-matches'
    CONTRADICTION = 'contradiction'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong with a configuration.

    :param severity: what kind of fault it is.
    :param where: the entry, such as `routes/r-1`.
    :param what: what was expected, and what the entry says.
    """

    severity: Severity
    where: str
    what: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A difference between two configurations.

    :param where: the field, such as `routes/r-1/timeout_ms`.
    :param before: its value in the version in force, None if missing.
    :param after: its value in the new one, None if missing.
    """

    where: str
    before: str | None
    after: str | None


def parse(text: bytes) -> dict[str, typing.Any]:
    """Return the fields of a configuration.

    :param text: JSON as the store holds it.
    :raises items.ItemError: if a gateway could not use it.
    """
    items.decode_config(text)
    data = json.loads(text)
    for name in _LIST_NAMES:
        for entry in data.get(name) or ():
            if not isinstance(entry, dict) or not entry.get('name'):
                raise items.ItemError(
                    f'expected a name in each entry of {name}, got '
                    f'{entry!r:.80}'
                )
    return data


def check(data: _Fields) -> list[Finding]:
    """Return what is wrong with a configuration, errors first.

    :param data: its fields, as `parse` returns them.
    """
    findings = [
        *_check_names(data),
        *_check_paths(data),
        *_check_targets(data),
        *_check_routes(data),
        *_check_services(data),
        *_check_keys(data),
    ]
    order = list(Severity)
    return sorted(findings, key=lambda item: order.index(item.severity))


def compare(before: _Fields, after: _Fields) -> list[Difference]:
    """Return what differs between two configurations.

    :param before: fields of the version in force.
    :param after: fields of the version to send.
    """
    old, new = dict(_flatten(before)), dict(_flatten(after))
    return [
        Difference(where, old.get(where), new.get(where))
        for where in sorted(old.keys() | new.keys())
        if old.get(where) != new.get(where)
    ]


def check_version(before: _Fields, after: _Fields) -> list[Finding]:
    """Return a finding if a version would not replace the one in force.

    :param before: fields of the version in force.
    :param after: fields of the version to send.
    """
    if after['version'] > before['version']:
        return []
    what = (
        f'expected a number above {before["version"]}, which is in force, '
        f'got {after["version"]}; gateways would ignore it'
    )
    return [Finding(Severity.ERROR, 'version', what)]


def _check_names(data: _Fields) -> typing.Iterator[Finding]:
    for kind in _LIST_NAMES:
        names = [entry['name'] for entry in data.get(kind) or ()]
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield Finding(
                    Severity.ERROR,
                    f'{kind}/{name}',
                    f'expected a unique name, got {count} entries',
                )


def _check_paths(data: _Fields) -> typing.Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for route in data['routes']:
        where = f'routes/{route["name"]}'
        host, prefix = route['host'].lower(), route['prefix']
        if not (prefix.startswith('/') and prefix.endswith('/')):
            yield Finding(
                Severity.NEVER_MATCHES,
                where,
                f'expected a prefix that begins and ends with a slash, got '
                f'{prefix!r}',
            )
        elif '?' in prefix:
            yield Finding(
                Severity.NEVER_MATCHES,
                where,
                f'expected a prefix of the path, got a query in {prefix!r}',
            )
        if host.rpartition(':')[2].isdigit() and ':' in host:
            yield Finding(
                Severity.NEVER_MATCHES,
                where,
                f'expected a host without a port, got {host!r}',
            )
        earlier = seen.setdefault((host, prefix), route['name'])
        if earlier != route['name']:
            # The last entry of a path is in force.
            yield Finding(
                Severity.NEVER_MATCHES,
                f'routes/{earlier}',
                f'expected a path of its own, got that of {route["name"]}',
            )
            seen[host, prefix] = route['name']


def _check_targets(data: _Fields) -> typing.Iterator[Finding]:
    known = {entry['name'] for entry in data.get('services') or ()}
    used = set()
    for route in data['routes']:
        where = f'routes/{route["name"]}'
        for name, weight in _list_targets(route):
            if name not in known:
                yield Finding(
                    Severity.ERROR,
                    where,
                    f'expected a service of this configuration, got {name!r}',
                )
            if weight > 0:
                used.add(name)
            else:
                yield Finding(
                    Severity.NEVER_MATCHES,
                    where,
                    f'expected a weight above 0 for {name}, got {weight}',
                )
        if all(weight <= 0 for _, weight in _list_targets(route)):
            yield Finding(Severity.ERROR, where, 'expected a target, got none')
    for name in sorted(known - used):
        yield Finding(
            Severity.NEVER_MATCHES,
            f'services/{name}',
            'expected a route to this service, got none',
        )


def _check_routes(data: _Fields) -> typing.Iterator[Finding]:
    for route in data['routes']:
        for severity, what in _judge_route(route):
            yield Finding(severity, f'routes/{route["name"]}', what)


def _judge_route(route: _Fields) -> typing.Iterator[tuple[Severity, str]]:
    timeout_ms = float(route['timeout_ms'])
    if not 0 < timeout_ms < math.inf:
        yield Severity.ERROR, f'expected a timeout above 0, got {timeout_ms}'
    for name in ('target_latency_ms', 'gap_target_ms'):
        value = float(route.get(name) or 0)
        if value > timeout_ms:
            yield (
                Severity.CONTRADICTION,
                f'expected {name} up to the timeout of {timeout_ms} ms, got '
                f'{value}',
            )
    priority = int(route.get('priority') or 0)
    if not 0 <= priority <= _MAX_PRIORITY:
        yield (
            Severity.ERROR,
            f'expected a priority from 0 to {_MAX_PRIORITY}, got {priority}',
        )
    attempts = int(route.get('max_attempts', 1))
    if attempts < 1:
        yield Severity.ERROR, f'expected an attempt at least, got {attempts}'
    is_stream = route['kind'] == model.RequestKind.STREAMING.value
    for name in ('stream_resumption', 'gap_target_ms'):
        if route.get(name) and not is_stream:
            yield (
                Severity.CONTRADICTION,
                f'expected {name} on streaming routes only, got it on a '
                f'{route["kind"]} one',
            )
    if route.get('stream_resumption') and attempts == 1:
        yield (
            Severity.CONTRADICTION,
            'expected two attempts or more where a stream may be resumed, '
            'got one',
        )


def _check_services(data: _Fields) -> typing.Iterator[Finding]:
    for service in data.get('services') or ():
        where = f'services/{service["name"]}'
        slots = int((service.get('engine') or {}).get('slots') or 0)
        connections = int(service.get('max_connections') or 0)
        if 0 < connections < slots:
            yield Finding(
                Severity.CONTRADICTION,
                where,
                f'expected a connection for each of {slots} slots, got '
                f'{connections} connections',
            )
        warmup_s = float(service.get('warmup_s') or 0)
        if float(service.get('warmup_per_s') or 0) > 0 and warmup_s <= 0:
            yield Finding(
                Severity.CONTRADICTION,
                where,
                'expected a time of warm-up for its rate, got none',
            )


def _check_keys(data: _Fields) -> typing.Iterator[Finding]:
    owners: dict[str, str] = {}
    for tenant in data.get('tenants') or ():
        where = f'tenants/{tenant["name"]}'
        if not tenant.get('api_keys'):
            yield Finding(
                Severity.NEVER_MATCHES, where, 'expected a key, got none'
            )
        for key in tenant.get('api_keys') or ():
            owner = owners.setdefault(key, tenant['name'])
            if owner != tenant['name']:
                yield Finding(
                    Severity.ERROR,
                    where,
                    f'expected keys of its own, got {_mask(key)} of {owner}',
                )


def _list_targets(route: _Fields) -> list[tuple[str, float]]:
    split = route.get('traffic_split')
    if not split:
        return [(route['service'], 1)]
    return [(part['service'], part['weight']) for part in split]


def _mask(key: str) -> str:
    return f'{key[:_SHOWN_KEY_CHARS]}~{zlib.crc32(key.encode()):08x}'


def _flatten(data: _Fields) -> typing.Iterator[tuple[str, str]]:
    """Return the path and the JSON text of each field."""
    for name, value in data.items():
        if name in _LIST_NAMES:
            for entry in value or ():
                yield from _flatten_entry(f'{name}/{entry["name"]}', entry)
        else:
            yield name, json.dumps(value, sort_keys=True)


def _flatten_entry(
    where: str, entry: _Fields
) -> typing.Iterator[tuple[str, str]]:
    for name, value in entry.items():
        if name == 'api_keys':
            # One path for each key, so that a withdrawn one shows.
            for key in value or ():
                yield f'{where}/{name}/{_mask(key)}', 'present'
        elif name != 'name':
            yield f'{where}/{name}', json.dumps(value, sort_keys=True)
