"""A small deployment on loopback addresses: store, servers, gateways, clients.

Gateways are the project's own program, started with the command of the deploy
file, each at an address of its own; the rest are stand-ins.
"""

import asyncio
import json
import os
import pathlib
import shlex
import socket
import subprocess
import sys
import tempfile
import tomllib

import standins

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
ZONES = ('alue-yksi', 'alue-kaksi', 'alue-kolme')
BOOT = """node_name={name}
role=router
machine_class=edge
serves=edge
ip={ip}
zone={zone}
region=pohjola
listen.frontend={ip}:{ports[0]}
listen.readiness={ip}:{ports[1]}
listen.control_plane={ip}:{ports[2]}
internal_ports={ports[3]},{ports[4]}
limits.cpu_share=0.86
limits.cores={cores}
limits.memory_mb=300
limits.max_fds=4200
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.revoke_ms=5000
bounds.evacuation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=52
platform.address=127.0.0.1:{store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


def find_ports(addresses):
    """Return ports that are free at all addresses, the last two in a row."""
    for first in range(21000, 30000, 8):
        ports = list(range(first, first + 6))
        socks = []
        try:
            for ip in addresses:
                for port in ports:
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((ip, port))
            return ports
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise OSError('no free ports')


class Gateway:
    def __init__(self, name, ip, zone, ports, store, folder, cores):
        self.name = name
        self.address = (ip, ports[0])
        self.readiness = (ip, ports[1])
        self.is_lost = False
        self.ends = []
        boot = folder / f'{name}.conf'
        boot.write_text(
            BOOT.format(
                name=name,
                ip=ip,
                zone=zone,
                ports=ports,
                store=store,
                cores=cores,
            )
        )
        self.log = folder / f'{name}.log'
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = shlex.split(role['roles']['router']['run'])
        self.env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'FOXTAILPICK_BOOT': str(boot),
            'FOXTAILPICK_METRICS_PORT': str(ports[5]),
        }
        self.process = None
        self.started = None

    def start(self):
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=self.env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started = standins.now()

    def lose(self):
        """The machine is lost for good."""
        self.is_lost = True
        self.process.kill()
        self.process.wait()

    def get_cpu_s(self):
        """Return the processor time of the process, None if it has ended."""
        if self.process.poll() is not None:
            return None
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def get_error(self):
        """Return the last lines that the process wrote outside its log."""
        text = self.log.read_text('utf-8', 'replace')
        lines = text.replace(f'{ROOT}/', '').splitlines()
        return [line for line in lines if not line.startswith('{')][-12:]


class Deployment:
    """Everything of one run; a context manager that ends all processes."""

    def __init__(self, gateways):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.count = gateways
        self.gateways = []
        self.processes = []
        self.outputs = {'clients': [], 'servers': []}
        self.rate = 0.0
        self.in_rotation = []
        self.store = standins.Store()
        self.is_over = False

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.is_over = True
        for process in [g.process for g in self.gateways] + self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.temporary.cleanup()

    def spawn(self, kind, *args):
        path = self.folder / f'{kind}-{len(self.outputs[kind])}.out'
        self.outputs[kind].append(path)
        with path.open('wb') as out:
            process = subprocess.Popen(
                [sys.executable, str(HERE / f'{kind}.py'), *map(str, args)],
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=subprocess.DEVNULL,
            )
        self.processes.append(process)
        return process

    async def start(self, client_processes=3, server_processes=3):
        server = await asyncio.start_server(
            self.store.serve, '127.0.0.1', 0, limit=2**24
        )
        port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.store.expire_leases())
        config = json.dumps(standins.make_config()).encode()
        self.store.put('op/config', config)
        for part in range(server_processes):
            zone = ZONES[part % len(ZONES)]
            names = [f'i-llm{part}{n}:llm:{zone}:64' for n in range(3)]
            self.spawn('servers', port, *names, f'i-desk{part}:desk:{zone}:24')
        ips = [f'127.0.0.{11 + n}' for n in range(self.count)]
        ports = find_ports(ips)
        for number, ip in enumerate(ips):
            zone = ZONES[number % len(ZONES)]
            name = f'edge-{zone}-{number}'
            cores = 1 if number else 2.5
            gateway = Gateway(
                name, ip, zone, ports, port, self.folder, cores
            )
            gateway.start()
            self.gateways.append(gateway)
        asyncio.ensure_future(self._balance())
        asyncio.ensure_future(self._restart())
        self.clients = [
            self.spawn('clients', 1 / client_processes)
            for _ in range(client_processes)
        ]

    def order(self):
        """Tell the clients their rate and the gateways in rotation."""
        order = {'rate': self.rate, 'addresses': self.in_rotation}
        for client in self.clients:
            client.stdin.write(json.dumps(order).encode() + b'\n')
            client.stdin.flush()

    async def _balance(self):
        """Ask each gateway once a second whether it is ready."""
        misses = dict.fromkeys(self.gateways, 2)
        while not self.is_over:
            await asyncio.sleep(1.0)
            for gateway in self.gateways:
                ready = await self._is_ready(gateway)
                misses[gateway] = 0 if ready else misses[gateway] + 1
            found = [g.address for g in self.gateways if misses[g] < 2]
            if found and found != self.in_rotation and self.rate:
                self.in_rotation = found
                self.order()
            elif found:
                self.in_rotation = found

    async def _is_ready(self, gateway):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(
                    *gateway.readiness
                )
                try:
                    writer.write(
                        b'GET /foxtailpick/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    head = await standins.read_head(reader)
                    return head is not None and ' 200 ' in head[0] + ' '
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def _restart(self):
        """Restart processes that ended by themselves, after a short delay."""
        while not self.is_over:
            await asyncio.sleep(0.05)
            for gateway in self.gateways:
                if gateway.is_lost or gateway.process.poll() is None:
                    continue
                code = gateway.process.returncode
                at = standins.now()
                gateway.ends.append((at, code, gateway.get_error()))
                await asyncio.sleep(0.5)
                if not self.is_over:
                    gateway.start()

    def finish(self):
        """End clients and servers; return what they recorded."""
        for process in self.clients:
            process.stdin.close()
            process.wait()
        for process in self.processes:
            if process not in self.clients:
                process.stdin.close()
                process.wait()
        return tuple(
            [
                json.loads(line)
                for path in self.outputs[kind]
                for line in path.read_text().splitlines()
                if line.endswith('}')
            ]
            for kind in ('clients', 'servers')
        )
