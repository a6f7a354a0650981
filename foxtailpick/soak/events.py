"""Events of the soak's engines, of which each version writes its own.

So a text that is joined from two versions is seen.
"""

import re

from foxtailpick.platform.standins import endpoint_server

FIRST_VERSION = 'v1'

_EVENT = re.compile(rb'id: (\d+)\ndata: token\d+(?:\.(\w+))?\n\n')


def format_event(
    number: int, version: str = FIRST_VERSION, padding_bytes: int = 0
) -> bytes:
    """Return an event as a version writes it.

    :param number: its number.
    :param version: the version.
    :param padding_bytes: length of a comment before it, 0 for none.
    """
    event = endpoint_server.format_event(number)
    if padding_bytes:
        event = b': ' + b'.' * padding_bytes + b'\n' + event
    if version == FIRST_VERSION:
        return event
    return event.replace(b'\n\n', f'.{version}\n\n'.encode())


def list_versions(body: bytes) -> list[str]:
    """Return the versions that wrote the whole events of a body."""
    found = {match[2] for match in _EVENT.finditer(body)}
    return sorted(item.decode() if item else FIRST_VERSION for item in found)


def find_last_event(body: bytes) -> int:
    """Return the number of the last whole event, 0 if there is none."""
    return max((int(match[1]) for match in _EVENT.finditer(body)), default=0)


def strip_versions(body: bytes) -> bytes:
    """Return a body, which may end anywhere, as of the first version."""
    return re.sub(rb'(data: token\d+)\.\w*(?=\n|$)', rb'\1', body)
