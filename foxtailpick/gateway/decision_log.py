"""Structured, non-blocking logging.

Each line is one JSON object. Lines are put into a bounded buffer and
written to standard output, without blocking, several times a second.
Lines about single requests are rate-limited; the number of dropped lines
is logged.
"""

import collections
import json
import os
import sys
import typing

from loguru import logger
import trio

from foxtailpick.core import types

# Size of the buffer; lines that do not fit are dropped.
MAX_PENDING_BYTES = 1_048_576
# Rate limit of lines about single requests: two lines for each request at
# twice the usual load of a gateway.
MAX_REQUEST_LINES_PER_S = 150
FLUSH_MS = 250.0
_STDOUT = 1
# Lines are complete, so loguru must not add its own format.
_logger = logger.opt(raw=True)
# A shared encoder: `json.dumps` with options creates one in each call.
_encode = json.JSONEncoder(separators=(',', ':'), default=str).encode


class DecisionLog:
    """Log of one process.

    :param now_ms: function that returns the current time.
    :param write: function that writes bytes and returns how many were
        written, as `os.write` does on a non-blocking descriptor.
    """

    def __init__(
        self,
        now_ms: typing.Callable[[], float],
        write: typing.Callable[[bytes], int],
    ) -> None:
        self._now_ms = now_ms
        self._write = write
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._second = 0
        self._lines_in_second = 0
        self.dropped = 0
        self._reported_dropped = 0

    def emit(self, event: str, **fields: typing.Any) -> None:
        """Log a state change of the process.

        :param event: name of the event.
        :param fields: inputs, their age or version, the outcome.
        """
        line = {'ms': round(self._now_ms(), 1), 'event': event, **fields}
        _logger.info(_encode(line) + '\n')

    def emit_request(self, event: str, **fields: typing.Any) -> None:
        """Log a decision about one request, subject to the rate limit."""
        second = int(self._now_ms() / types.SECOND_MS)
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_REQUEST_LINES_PER_S:
            self.dropped += 1
            return
        self.emit(event, **fields)

    def append_line(self, text: str) -> None:
        """Append a formatted line to the buffer; the sink of loguru."""
        data = text.encode()
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(data)
        self._pending_bytes += len(data)

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        if self.dropped > self._reported_dropped:
            self._reported_dropped = self.dropped
            self.emit('log-lines-dropped', total=self.dropped)
        if not self._pending:
            return
        data = b''.join(self._pending)
        self._pending.clear()
        try:
            taken = self._write(data)
        except OSError:
            # The output is full, or its reader is gone: there is no other
            # place to report it. The lines are kept, up to their limit.
            taken = 0
        rest = data[taken:]
        if rest:
            self._pending.append(rest)
        self._pending_bytes = len(rest)

    async def run(self) -> None:
        """Flush the buffer periodically until cancelled."""
        try:
            while True:
                await trio.sleep(FLUSH_MS / types.SECOND_MS)
                self.flush()
        finally:
            self.flush()


def open_stdout_log(now_ms: typing.Callable[[], float]) -> DecisionLog:
    """Send all log lines of the process to standard output.

    :param now_ms: function that returns the current time.
    """
    os.set_blocking(_STDOUT, False)
    log = DecisionLog(now_ms, lambda data: os.write(_STDOUT, data))
    logger.remove()
    logger.add(log.append_line, format='{message}', level='INFO')
    sys.excepthook = _make_excepthook(log)
    return log


def _make_excepthook(log: DecisionLog) -> typing.Callable[..., None]:
    def hook(kind: type, exc: BaseException, trace: typing.Any) -> None:
        log.emit('crash', error=repr(exc))
        log.flush()
        sys.__excepthook__(kind, exc, trace)

    return hook
