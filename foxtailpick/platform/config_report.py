"""Prints what is wrong with a configuration, and what it changes."""

import enum
import json
import pathlib
import sys
import typing

from foxtailpick.platform import config_check
from foxtailpick.platform import items


class ExitStatus(enum.IntEnum):
    """Exit status of the check."""

    SOUND = 0
    FOUND = 1
    UNREADABLE = 2


def print_report(
    file: pathlib.Path, against: pathlib.Path | None, is_json: bool
) -> int:
    """Check a configuration and print the findings and differences.

    :param file: the configuration to send.
    :param against: the version in force, if any.
    :param is_json: whether to print JSON objects, one a line.
    :returns: the exit status.
    """
    try:
        data = _read(file)
        before = None if against is None else _read(against)
    except (OSError, items.ItemError) as exc:
        print(f'foxtailpick: {exc}', file=sys.stderr)
        return ExitStatus.UNREADABLE
    findings = config_check.check(data)
    if before is not None:
        findings = [*config_check.check_version(before, data), *findings]
        for item in config_check.compare(before, data):
            _print(
                is_json,
                f'{item.where}: {item.before or "-"} -> {item.after or "-"}',
                {
                    'kind': 'difference',
                    'where': item.where,
                    'before': item.before,
                    'after': item.after,
                },
            )
    for finding in findings:
        _print(
            is_json,
            f'{finding.severity.value}: {finding.where}: {finding.what}',
            {
                'kind': finding.severity.value,
                'where': finding.where,
                'what': finding.what,
            },
        )
    return ExitStatus.FOUND if findings else ExitStatus.SOUND


def _read(file: pathlib.Path) -> dict[str, typing.Any]:
    try:
        return config_check.parse(file.read_bytes())
    except items.ItemError as exc:
        raise items.ItemError(f'{file}: {exc}') from exc


def _print(is_json: bool, text: str, fields: dict[str, typing.Any]) -> None:
    print(json.dumps(fields) if is_json else text)
