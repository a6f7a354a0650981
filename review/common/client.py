"""Callers of a gateway: kept connections, one request at a time on each."""

import asyncio
import itertools
import time

_numbers = itertools.count(1)


def make_id(prefix='r'):
    """Return an id for a client attempt."""
    return f'{prefix}{next(_numbers):06x}'


class Caller:
    """Sends requests to one gateway over kept connections.

    :param port: port of the gateway.
    """

    def __init__(self, port):
        self.port = port
        self._idle = []

    async def send(self, method, host, path, headers, body=b'', wait_s=5.0):
        """Send a request; return its status, headers and body.

        The status is 0 if the connection ended without a complete answer,
        and -1 if there was no answer in time.
        """
        try:
            return await asyncio.wait_for(
                self._send(method, host, path, headers, body), wait_s
            )
        except asyncio.TimeoutError:
            return -1, {}, b''
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return 0, {}, b''

    async def _send(self, method, host, path, headers, body):
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.port
            )
        is_kept = False
        try:
            lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.split('\r\n')
            status = int(first.split(' ')[1])
            got = {}
            for line in rest:
                name, _, value = line.partition(':')
                got[name.lower()] = value.strip()
            if got.get('transfer-encoding') == 'chunked':
                data = b''
                while True:
                    size = int(await reader.readuntil(b'\r\n'), 16)
                    part = await reader.readexactly(size + 2)
                    if not size:
                        break
                    data += part[:-2]
            else:
                data = await reader.readexactly(
                    int(got.get('content-length', 0))
                )
            is_kept = got.get('connection', '').lower() != 'close'
            if is_kept:
                self._idle.append((reader, writer))
            return status, got, data
        finally:
            if not is_kept:
                writer.close()


def now():
    """Return the time of day, which all records use."""
    return time.time()
