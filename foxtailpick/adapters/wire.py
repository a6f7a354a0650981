"""Frames over a websocket connection, with coded closes."""

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

# Private close codes of the websocket protocol begin here.
CLOSE_CODE_BASE = 4_000
PING_INTERVAL_S = 60.0
OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.5
MAX_REASON_BYTES = 120

# Lost connections are logged by the links, each with a line of its own.
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
    """Bytes of frames, sent and received.

    :param control_bytes: of frames that belong to no request.
    :param request_bytes: of frames that belong to one.
    """

    control_bytes: int = 0
    request_bytes: int = 0

    def count(self, frame: messages.Frame, size: int) -> None:
        """Add a frame.

        :param frame: the frame.
        :param size: its encoded size in bytes.
        """
        if hasattr(frame.message, 'attempt'):
            self.request_bytes += size
        else:
            self.control_bytes += size


class FrameStream:
    """Frames over one websocket connection.

    :param conn: the websocket connection.
    :param meter: counts the bytes.
    """

    def __init__(self, conn: typing.Any, meter: TrafficMeter) -> None:
        self.conn = conn
        self._meter = meter

    async def send(self, frame: messages.Frame) -> None:
        """Send a frame.

        :param frame: the frame.
        :raises errors.LinkError: with code `LINK_LOST` if the connection
            is gone; the frame may have arrived.
        """
        data = codec.encode_frame(frame)
        self._meter.count(frame, len(data))
        try:
            await self.conn.send(data)
        except _LOST_ERRORS as exc:
            raise make_lost_error(exc) from exc

    async def receive(self) -> messages.Frame:
        """Wait for the next frame.

        :returns: the frame, checked.
        :raises errors.LinkError: if the connection is gone or the frame is
            bad; a bad frame closes the connection with its code.
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
    """Close a connection and tell the peer why.

    :param conn: a websocket connection.
    :param exc: the error whose code becomes the close code.
    """
    reason = str(exc).encode()[:MAX_REASON_BYTES].decode('utf-8', 'ignore')
    with trio.move_on_after(CLOSE_TIMEOUT_S):
        await conn.aclose(get_close_code(exc.code), reason)


def get_close_code(code: errors.ErrorCode) -> int:
    """Return the websocket close code of an error code."""
    digits = re.sub(r'\D', '', code.value)
    return CLOSE_CODE_BASE + int(digits)


def check_hello(frame: messages.Frame) -> messages.Hello:
    """Check the first frame of a connection.

    :param frame: the frame.
    :returns: the peer's hello.
    :raises errors.LinkError: if it is no hello or of another version.
    """
    hello = frame.message
    if not isinstance(hello, messages.Hello):
        raise errors.LinkError(
            errors.ErrorCode.FRAME_MALFORMED,
            f'expected Hello first, got {type(hello).__name__}; '
            f'begin with the handshake',
        )
    if hello.version != messages.PROTOCOL_VERSION:
        raise errors.LinkError(
            errors.ErrorCode.PROTOCOL_VERSION,
            f'expected version {messages.PROTOCOL_VERSION}, '
            f'got {hello.version}; upgrade the older process',
        )
    return hello


def make_lost_error(came: object) -> errors.LinkError:
    """Return the error for a connection that is gone.

    :param came: what was seen.
    """
    return errors.LinkError(
        errors.ErrorCode.LINK_LOST,
        f'expected an open connection, got {came!r:.120}; '
        f'ask on a new connection what became of the attempt',
        verdict_lib.Verdict.MAY_HAVE_RUN,
    )


_LOST_ERRORS = (
    exceptions.ConnectionClosed,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)
