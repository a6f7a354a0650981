"""Most gateways are lost for good; the last one reads requests late."""

import asyncio
import collections
import json
import os
import pathlib
import sys

import deployment
import standins

# Processor time that the traffic takes at all gateways together, in cores.
CORES = 3.0
SHEET_RATE = 1.0
# Machines are lost in waves, this many seconds apart.
WAVES = 1
# More requests than this are more than a few.
A_FEW = 10
WAVE_S = 5.0
PLAY_S = 14.0
GATEWAYS = 10
MAX_RATE = 6.0
RECORD = pathlib.Path(os.environ['CASE']) / 'record.txt'


async def measure_cores(dep, seconds):
    before = {g.process.pid: g.get_cpu_s() for g in dep.gateways}
    await asyncio.sleep(seconds)
    after = {g.process.pid: g.get_cpu_s() for g in dep.gateways}
    return sum(
        used - before[pid]
        for pid, used in after.items()
        if used is not None and before.get(pid) is not None
    ) / seconds


async def play(dep, has_trouble, note):
    await dep.start()
    for _ in range(80):
        await asyncio.sleep(0.25)
        if len(dep.in_rotation) == dep.count:
            break
    else:
        return False
    dep.rate = SHEET_RATE
    dep.order()
    for _ in range(4):
        await asyncio.sleep(2.0)
        cores = await measure_cores(dep, 3.0)
        note(f'{cores:.2f} cores in all at rate {dep.rate:.2f}')
        dep.rate = min(MAX_RATE, max(SHEET_RATE, dep.rate * CORES / cores))
        dep.order()
    await asyncio.sleep(3.0)
    note(f'rate from here on {dep.rate:.2f}, at {dep.count} gateways')
    began = standins.now()
    waves = [dep.gateways[1:][n::WAVES] for n in range(WAVES)]
    while standins.now() - began < PLAY_S:
        if waves and standins.now() - began >= (WAVES - len(waves)) * WAVE_S:
            wave = waves.pop()
            if has_trouble:
                for gateway in wave:
                    gateway.lose()
                names = ', '.join(gateway.name for gateway in wave)
                note(f'lost for good: {names}')
            if not waves:
                await asyncio.sleep(4.0)
                cores = await measure_cores(dep, 6.0)
                note(f'{cores:.2f} cores at the gateways that are left')
        await asyncio.sleep(0.5)
        if dep.gateways[0].ends:
            await asyncio.sleep(4.0)
            break
    return True


def judge(dep, requests, runs, note):
    """Check GONE, as written, for the gateway that stays."""
    kept = dep.gateways[0]
    left = {
        item['id']: item
        for item in requests
        if item.get('node') == kept.address[0] and item['end'] == 'deadline'
    }
    late = [
        (run['from'] - left[run['id']]['done'], left[run['id']])
        for run in runs
        if run['id'] in left
        and run['from'] - left[run['id']]['done'] > 0.5
    ]
    ends = collections.Counter(
        (item.get('node'), item['end'], item.get('status'))
        for item in requests
    )
    for (node, end, status), count in sorted(ends.items(), key=str):
        note(f'answers: node {node}, {end}, status {status}: {count}')
    note(f'runs at servers: {len(runs)}')
    for gateway in dep.gateways:
        for at, code, error in gateway.ends:
            note(f'{gateway.name} ended by itself with code {code}')
    for after, item in late:
        note(f'reached a server {after:.2f} s after the close: {item}')
    note(
        f'callers that left: {len(left)}; requests that reached a server over '
        f'0.5 s after the close: {len(late)}'
    )
    return len(late) > A_FEW


def main():
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    began = standins.now()
    with RECORD.open('w') as file:

        def note(text):
            file.write(f'{standins.now() - began:7.2f} {text}\n')
            file.flush()

        note(f'trouble: {has_trouble}')
        with deployment.Deployment(GATEWAYS) as dep:
            if not asyncio.run(play(dep, has_trouble, note)):
                note('the deployment did not start')
                return 2
            dep.is_over = True
            is_broken = judge(dep, *dep.finish(), note)
        note('broken' if is_broken else 'held')
    return int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
