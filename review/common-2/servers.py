"""Servers of the platform, run as a process of their own.

Writes one line of JSON per run to its standard output at the end, which is
the end of its standard input.
"""

import asyncio
import json
import os
import sys

import standins


async def main(store_port, names):
    reader, writer = await asyncio.open_connection('127.0.0.1', store_port)
    lock = asyncio.Lock()

    async def write(key, entry):
        body = json.dumps({'key': key, 'entry': entry}).encode()
        async with lock:
            writer.write(
                b'POST /standin/beat HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
                % len(body)
                + body
            )
            _, headers = await standins.read_head(reader)
            await reader.readexactly(int(headers['content-length']))

    runs = []
    for name in names:
        service, zone, slots = name.split(':')[1:]
        server = standins.Server(
            write, name.split(':')[0], service, zone, int(slots), runs
        )
        await server.start()
        asyncio.ensure_future(server.beat())
        asyncio.ensure_future(server.step())
    loop = asyncio.get_running_loop()
    stdin = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin
    )
    await stdin.read()
    for run in runs:
        print(json.dumps(run))
    sys.stdout.flush()
    # The connections' tasks need no end of their own.
    os._exit(0)


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), sys.argv[2:]))
