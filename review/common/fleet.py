"""Starts gateways with the commands of the deploy file, on loopback."""

import os
import pathlib
import random
import socket
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 8

_SETTINGS = """node_name={name}
role=router
machine_class=edge
serves=edge
ip=127.0.0.1
zone={zone}
region=central-hills
zones.kandy-a=central-hills
zones.peradeniya-b=central-hills
zones.gampola-c=central-hills
listen.frontend=127.0.0.1:{frontend}
listen.readiness=127.0.0.1:{readiness}
listen.control_plane=127.0.0.1:{control}
internal_ports={internal},{last}
bootstrap=true
limits.cpu_share=0.817
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.revert_slack_ms=250
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_budget_extra=52
bounds.warmup_overrun=1.5
bounds.warmup_slack=5
bounds.evacuation_ms=5000
platform.address=127.0.0.1:{store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


FIRST_PORT, LAST_PORT = 21_000, 31_000
# Offset of the port that no gateway uses; it is held to reserve the others.
GUARD_OFFSET = 2
_guards = []


def find_ports(count):
    """Reserve free consecutive ports and return the first.

    Other scripts may look for ports at the same time.
    """
    blocks = range(FIRST_PORT, LAST_PORT, count)
    for first in random.sample(blocks, len(blocks)):
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first + GUARD_OFFSET))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        if _are_free(range(first, first + count), first + GUARD_OFFSET):
            _guards.append(guard)
            return first
        guard.close()
    raise OSError('no free ports')


def _are_free(ports, guarded):
    for port in ports:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            if port == guarded and kind == socket.SOCK_STREAM:
                continue
            with socket.socket(type=kind) as sock:
                try:
                    sock.bind(('127.0.0.1', port))
                except OSError:
                    return False
    return True


def read_run_line():
    """Return the command and environment of the deploy file's only role."""
    data = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    role = data['roles']['router']
    return role['run'].split(), dict(role.get('env', {}))


class Gateway:
    """A gateway process.

    :param name: its node name.
    :param zone: its zone.
    :param folder: folder for its settings and its log.
    :param store_port: port of the store, or of a proxy before it.
    """

    def __init__(self, name, zone, folder, store_port):
        first = find_ports(8)
        self.name = name
        self.port, self.readiness_port = first, first + 1
        self.metrics_port = first + 3
        self.boot = folder / f'{name}.conf'
        self.boot.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                frontend=first,
                readiness=first + 1,
                control=first + 2,
                internal=first + 4,
                last=first + 7,
                store=store_port,
            )
        )
        self.log_path = folder / f'{name}.log'
        self.process = None
        self.start()

    def start(self):
        command, env = read_run_line()
        # All gateways share one address here, so each has a metrics port.
        env = {**env, 'FOXTAILPICK_METRICS_PORT': str(self.metrics_port)}
        keep = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env.update(keep)
        env['FOXTAILPICK_BOOT'] = str(self.boot)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def wait_ready(self, timeout_s=20):
        """Wait until the readiness address answers 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                return False
            try:
                with socket.create_connection(
                    ('127.0.0.1', self.readiness_port), 1
                ) as sock:
                    sock.sendall(
                        b'GET /foxtailpick/readyz HTTP/1.1\r\nHost: x\r\n'
                        b'Connection: close\r\n\r\n'
                    )
                    if b' 200 ' in sock.recv(200):
                        return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def fail_to_run(why):
    """End the script as one that could not run."""
    print(f'could not run: {why}', file=sys.stderr)
    sys.exit(2)
