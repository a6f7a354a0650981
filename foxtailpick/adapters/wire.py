"""Frames over a WebSocket connection, with close codes for errors."""

import dataclasses
import logging
import re
import typing

import trio
from websockets import exceptions

from foxtailpick.core import codec
from foxtailpick.core import errors
from foxtailpick.core import messages
from foxtailpick.core import verdict as verdict_lib

# First private close code of the WebSocket protocol.
CLOSE_CODE_BASE = 4_000
PING_INTERVAL_S = 60.0
OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.5
MAX_REASON_BYTES = 120
# Longest head of a frame of the WebSocket protocol.
MAX_HEAD_BYTES = 14

# The library does not log: the links log each lost connection.
_library_log = logging.getLogger('foxtailpick.websockets')
_library_log.setLevel(logging.CRITICAL)

CONNECTION_OPTIONS = {
    'logger': _library_log,
    'compression': None,
    'max_size': messages.MAX_FRAME_BYTES,
    'ping_interval': PING_INTERVAL_S,
    'ping_timeout': PING_INTERVAL_S,
    'open_timeout': OPEN_TIMEOUT_S,
    'close_timeout': CLOSE_TIMEOUT_S,
}


@dataclasses.dataclass(slots=True)
class TrafficMeter:
    """Counts the bytes of sent and received frames.

    :param control_bytes: bytes of frames that belong to no request.
    :param request_bytes: bytes of frames that belong to a request.
    """

    control_bytes: int = 0
    request_bytes: int = 0

    def count(self, frame: messages.Frame, size: int) -> None:
        """Add a frame to the counters.

        :param frame: the frame.
        :param size: encoded size in bytes.
        """
        if hasattr(frame.message, 'attempt'):
            self.request_bytes += size
        else:
            self.control_bytes += size


class FrameStream:
    """Sends and receives frames over a WebSocket connection.

    :param conn: the WebSocket connection.
    :param meter: counts sent and received bytes.
    """

    def __init__(self, conn: typing.Any, meter: TrafficMeter) -> None:
        self.conn = conn
        self._meter = meter

    async def send(self, frame: messages.Frame) -> None:
        """Send a frame.

        :param frame: the frame.
        :raises errors.LinkError: with code `LINK_LOST` if the connection
            is lost; the frame may have been delivered.
        """
        data = codec.encode_frame(frame)
        self._meter.count(frame, len(data))
        try:
            await self.conn.send(data)
        except _LOST_ERRORS as exc:
            raise make_lost_error(exc) from exc

    async def receive(self) -> messages.Frame:
        """Wait for the next frame.

        :returns: the validated frame.
        :raises errors.LinkError: if the connection is lost or the frame is
            malformed; the latter closes the connection with its code.
        """
        try:
            data = await self.conn.recv()
        except _LOST_ERRORS as exc:
            raise make_lost_error(exc) from exc
        try:
            if isinstance(data, str):
                data = data.encode()
            frame = codec.decode_frame(data)
        except errors.LinkError as exc:
            await close_with_code(self.conn, exc)
            raise
        self._meter.count(frame, len(data))
        return frame


async def close_with_code(conn: typing.Any, exc: errors.FoxtailError) -> None:
    """Close a connection with the code and message of an error.

    :param conn: the WebSocket connection.
    :param exc: the error.
    """
    reason = str(exc).encode()[:MAX_REASON_BYTES].decode('utf-8', 'ignore')
    with trio.move_on_after(CLOSE_TIMEOUT_S):
        await conn.aclose(get_close_code(exc.code), reason)


def get_close_code(code: errors.ErrorCode) -> int:
    """Return the WebSocket close code for an error code."""
    digits = re.sub(r'\D', '', code.value)
    return CLOSE_CODE_BASE + int(digits)


def check_hello(frame: messages.Frame) -> messages.Hello:
    """Validate the first frame of a connection.

    :param frame: the frame.
    :returns: the hello of the peer.
    :raises errors.LinkError: if it is not a hello or has another protocol
        version.
    """
    hello = frame.message
    if not isinstance(hello, messages.Hello):
        raise errors.LinkError(
            errors.ErrorCode.FRAME_MALFORMED,
            f'expected Hello first, got {type(hello).__name__}; '
            f'start with the handshake',
        )
    if hello.version != messages.PROTOCOL_VERSION:
        raise errors.LinkError(
            errors.ErrorCode.PROTOCOL_VERSION,
            f'expected version {messages.PROTOCOL_VERSION}, '
            f'got {hello.version}; upgrade the older process',
        )
    return hello


def make_lost_error(received: object) -> errors.LinkError:
    """Return the error for a lost connection.

    :param received: what was received instead.
    """
    return errors.LinkError(
        errors.ErrorCode.LINK_LOST,
        f'expected an open connection, got {received!r:.120}; '
        f'query the attempt on a new connection',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


_LOST_ERRORS = (
    exceptions.ConnectionClosed,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)
