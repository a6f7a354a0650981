"""A server that left, and a heartbeat of its own that the store does late.

The answer to one heartbeat of a server is lost, and the store does the write
some seconds later. Meanwhile the server leaves without draining: its entry is
removed. The late write lists it as ready once more.
"""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import client  # noqa: E402
from common import fleet  # noqa: E402
from common import server  # noqa: E402
from common import store as store_lib  # noqa: E402

IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
GATEWAYS = 3
ZONES = ('kandy-a', 'peradeniya-b', 'gampola-c')
DRAIN_S = 2.0
# How much longer than that a server that leaves goes on serving. It ends while
# requests of the first group after its removal are in work.
LINGER_S = 0.8
REPLACED = 1
HEARTBEAT_S = 1.2
# Crews come in groups: so many requests at once, one group each interval. No
# request is on its way while the servers leave.
GROUP, GROUP_S, FIRST_GROUP_S = 18, 3.0, 0.7
START_NEW_S, LEAVE_S, END_S = 6.0, 10.0, 20.0
# The heartbeat whose answer is lost is sent this long before the removal; the
# store is stable again contact_ms later. It is done within 6 s.
LOST_BEFORE_S, LATE_S = 3.4, 5.0


def make_config():
    route = {
        'host': 'review.example', 'service': 'fieldbook',
        'timeout_ms': 1000, 'target_latency_ms': 200, 'priority': 2,
    }
    return {
        'version': 3,
        'routes': [
            {**route, 'name': 'permit-log', 'prefix': '/log/',
             'kind': 'unsafe', 'max_attempts': 1},
            {**route, 'name': 'span-lookup', 'prefix': '/look/',
             'kind': 'safe', 'max_attempts': 2},
        ],
        'services': [{'name': 'fieldbook', 'max_connections': 96}],
        'tenants': [{'name': 'crew', 'api_keys': ['k1']}],
        'limits': {
            'max_header_bytes': 65536, 'max_body_bytes': 4194304,
            'header_timeout_ms': 10000, 'idle_timeout_ms': 60000,
        },
    }


async def send_one(caller, number, sent, results):
    is_safe = number % 3 == 0
    request = client.make_id('safe' if is_safe else 'log')
    sent[request] = client.now()
    headers = {
        'X-Attempt-Id': request, 'X-Key': 'k1', 'X-Deadline-Ms': '1000',
    }
    if is_safe:
        status, _, _ = await caller.send(
            'GET', 'review.example', '/look/a', headers
        )
    else:
        status, _, _ = await caller.send(
            'POST', 'review.example', '/log/a', headers, b'span 12 done'
        )
    results[request] = status


async def send_traffic(callers, sent, results, began):
    rng = random.Random(1)
    tasks = set()
    due = began + FIRST_GROUP_S
    number = 0
    while due < began + END_S:
        await sleep_until(due)
        due += GROUP_S
        for _ in range(GROUP):
            number += 1
            task = asyncio.create_task(
                send_one(rng.choice(callers), number, sent, results)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks, timeout=6)


async def sleep_until(due):
    await asyncio.sleep(max(0.0, due - time.monotonic()))


def make_server(number):
    return server.Server(
        f'i-{number}', 'fieldbook', ZONES[number % 3], events=0, gap_s=0.15,
        slots=6,
    )


async def play(folder, out):
    store = store_lib.Store()
    store_server = await store.serve('127.0.0.1', 0)
    store.put('op/config', make_config())
    old = [make_server(number) for number in range(3)]
    new = [make_server(number + 3) for number in range(REPLACED)]
    beats = {}
    for item in old:
        await item.start()
        beats[item] = asyncio.create_task(write_heartbeats(item, store))
    tasks = [asyncio.create_task(store.run_leases())]
    port = store_server.sockets[0].getsockname()[1]
    gateways = [
        fleet.Gateway(f'edge-{n}', ZONES[n], folder, port)
        for n in range(GATEWAYS)
    ]
    began, start = time.monotonic(), time.time()
    sent, results = {}, {}
    try:
        for gateway in gateways:
            if not await asyncio.to_thread(gateway.wait_ready):
                fleet.fail_to_run(f'{gateway.name} is not ready')
        callers = [client.Caller(gateway.port) for gateway in gateways]
        traffic = asyncio.create_task(
            send_traffic(callers, sent, results, began)
        )
        await sleep_until(began + START_NEW_S)
        for item in new:
            await item.start()
            beats[item] = asyncio.create_task(write_heartbeats(item, store))
        await sleep_until(began + LEAVE_S - LOST_BEFORE_S)
        leaving = old[:REPLACED]
        lost = [(item, item.make_entry()) for item in leaving]
        lost_at = time.time()
        await sleep_until(began + LEAVE_S)
        for item in leaving:
            beats[item].cancel()
            store.remove(f'servers/{item.name}')
            item.is_leaving = True
        left_at, left = time.time(), time.monotonic()
        if IS_TROUBLED:
            tasks.append(asyncio.create_task(do_late_writes(
                store, lost, began + LEAVE_S - LOST_BEFORE_S + LATE_S
            )))
        ends = asyncio.create_task(end_servers(leaving, left))
        await ends
        await traffic
        running = [g.process.poll() is None for g in gateways]
    finally:
        for gateway in gateways:
            gateway.stop()
        for task in [*tasks, *beats.values()]:
            task.cancel()
        store_server.close()
    if not all(running) or not sent:
        fleet.fail_to_run('a gateway ended, or nothing was sent')
    return report(
        out, start, leaving, left_at, lost_at, sent, results
    )


async def write_heartbeats(item, store):
    while True:
        store.put(f'servers/{item.name}', item.make_entry())
        await asyncio.sleep(HEARTBEAT_S)


async def do_late_writes(store, lost, due):
    """Write entries late; they expire after three heartbeat intervals."""
    await sleep_until(due)
    for item, entry in lost:
        store.put(f'servers/{item.name}', entry)
    await asyncio.sleep(3 * HEARTBEAT_S)
    for item, _ in lost:
        store.remove(f'servers/{item.name}')


async def end_servers(leaving, left):
    await sleep_until(left + DRAIN_S + LINGER_S)
    for item in leaving:
        item.crash()


def report(out, start, leaving, left_at, lost_at, sent, results):
    counts = {}
    for status in results.values():
        counts[status] = counts.get(status, 0) + 1
    print(f'requests sent: {len(sent)}; answers by status: {counts}', file=out)
    names = [item.name for item in leaving]
    print(f'{left_at - start:8.3f} s  entries of {names} removed', file=out)
    if IS_TROUBLED:
        print(
            f'{lost_at - start:8.3f} s  heartbeat of {names} whose answer is '
            f'lost; done at {lost_at + LATE_S - start:.3f} s', file=out,
        )
    late = []
    for item in leaving:
        for request, at, target in item.arrivals:
            if at < left_at:
                continue
            is_late = at > left_at + DRAIN_S
            if is_late:
                late.append(at - left_at)
            print(
                f'{at - start:8.3f} s  {item.name} runs {request} {target}, '
                f'sent {sent[request] - start:.3f} s, client got '
                f'{results.get(request)}{", late" if is_late else ""}',
                file=out,
            )
        lost = [r for r, _, _ in item.arrivals if r not in item.finished]
        print(
            f'{item.crashed_at - start:8.3f} s  {item.name} ends, with '
            f'{len(lost)} requests in work', file=out,
        )
    print(
        f'requests that reached a server more than '
        f'{DRAIN_S} s after its removal: {len(late)}, the last one after '
        f'{max(late, default=0):.3f} s', file=out,
    )
    return 1 if late else 0


def main():
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    try:
        with (HERE / 'record.txt').open('w') as out:
            result = asyncio.run(play(folder, out))
            print(f'exit {result}', file=out)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return result


if __name__ == '__main__':
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.stderr.flush()
    # Connections of the stand-ins may still be open.
    os._exit(code)
