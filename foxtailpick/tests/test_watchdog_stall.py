"""Tests of the watchdog after the event loop was held up."""

import contextlib
import socket
import threading
import time

from foxtailpick.core.dispatch import health
from foxtailpick.gateway import http1
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.tests import gateway_harness
from foxtailpick.tests import gateway_scripts

ROUNDS = 6
STALL_S = 1.2 * health.SILENCE_MS / 1_000
EVENT_GAP_S = 0.02
EVENTS = round((STALL_S + 0.4) / EVENT_GAP_S)


def stream_events(conn):
    """Answer each request with events at equal gaps."""
    with conn:
        while data := conn.recv(65_536):
            attempt_id = next(
                line
                for line in data.split(b'\r\n')
                if line.lower().startswith(b'x-attempt-id')
            )
            conn.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                b'X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n'
                + attempt_id
                + b'\r\n\r\n'
            )
            for number in range(1, EVENTS + 1):
                event = endpoint_server.format_event(number)
                conn.sendall(http1.format_chunk(event))
                time.sleep(EVENT_GAP_S)
            conn.sendall(http1.LAST_CHUNK)


@contextlib.contextmanager
def open_threaded_endpoint():
    """Stream from threads, which run on while the loop is held up."""
    sock = socket.create_server(gateway_harness.ANY_PORT)

    def serve(conn):
        # The gateway may have broken the stream off.
        with contextlib.suppress(OSError):
            stream_events(conn)

    def accept():
        with contextlib.suppress(OSError):
            while True:
                conn, _ = sock.accept()
                threading.Thread(
                    target=serve, args=(conn,), daemon=True
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    with sock:
        yield sock.getsockname()
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


async def test_stall_of_the_loop_is_no_silence_of_endpoints():
    """A large configuration is parsed while endpoints stream.

    The watchdog and the tasks that read run in any order after the stall, so
    several rounds are made.
    """
    with open_threaded_endpoint() as address:
        async with gateway_harness.open_harness() as harness:
            for name in ('e1', 'e2'):
                harness.store.put(
                    f'servers/{name}',
                    gateway_harness.make_entry('engine', address),
                )
            await harness.until_known('e1', 'e2')
            for number in range(ROUNDS):
                conn = await harness.send(
                    '/movable/x',
                    b'POST',
                    X_Attempt_Id=f'a{number}',
                    X_Prefix_Hash=gateway_scripts.PROMPT,
                    X_Token_Count='510,100',
                )
                await harness.until(
                    lambda: any(
                        attempt.answered_ms is not None
                        for attempt in harness.gw.attempts
                    )
                )
                # Holds up the whole loop, like parsing does.
                time.sleep(STALL_S)
                answer = await gateway_harness.read_answer(conn)
                conn.close()
                assert answer.body == gateway_scripts.get_events(1, EVENTS)
            failed = harness.gw.metrics.counters.get('attempts_failed', 0)
    assert failed == 0
