"""Sends to and receives from an endpoint on behalf of an attempt."""

import errno

from foxtailpick.core.dispatch import health
from foxtailpick.core import errors
from foxtailpick.core import verdict as verdict_lib
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import exchange
from foxtailpick.gateway import http1


class InvalidResponseError(OSError):
    """The response is incomplete, malformed or not the endpoint's own.

    :param detail: what is wrong with it.
    :param is_closed: whether the close of the connection made it incomplete.
    """

    def __init__(self, detail: str, is_closed: bool = False) -> None:
        super().__init__(detail)
        self.is_closed = is_closed


class EndpointConnectionError(OSError):
    """The connection to the endpoint failed during the exchange.

    :param detail: how it failed.
    :param is_closed: whether the endpoint closed it.
    """

    def __init__(self, detail: str, is_closed: bool) -> None:
        super().__init__(detail)
        self.is_closed = is_closed


async def send(conn: client_lib.ClientConnection, data: bytes) -> None:
    """Send bytes to an endpoint.

    :raises EndpointConnectionError: if the connection fails.
    """
    try:
        await conn.send(data)
    except http1.BrokenConnectionError as exc:
        raise _make_connection_error('send failed', exc) from exc


async def next_event(
    gw: context.Gateway,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
) -> client_lib.Event:
    """Return the next part of a response, and record that it arrived.

    :raises EndpointConnectionError: if the connection fails.
    """
    attempt.is_reading = True
    try:
        event = await conn.next_event()
    except http1.BrokenConnectionError as exc:
        raise _make_answer_error(gw, exc) from exc
    finally:
        attempt.is_reading = False
    now_ms = gw.now_ms()
    attempt.last_received_ms = now_ms
    attempt.endpoint.health.last_received_ms = now_ms
    if not attempt.is_in_stream:
        record_progress(attempt, now_ms)
    return event


def record_progress(attempt: context.Attempt, now_ms: float) -> None:
    """Record that the response to an attempt made progress.

    :param attempt: the attempt.
    :param now_ms: current time.
    """
    attempt.last_progress_ms = now_ms
    if attempt.is_silent:
        attempt.is_silent = False
        attempt.report_silence(False)
    if attempt.is_failure_recorded and attempt.answered_ms is not None:
        # The endpoint goes on; a silence before the head is taken back
        # with the head.
        attempt.is_failure_recorded = False
        health.revert_failed_request(attempt.endpoint.health, now_ms)


async def read_body(
    gw: context.Gateway, conn: client_lib.ClientConnection
) -> exchange.BufferedBody:
    """Read the rest of a response.

    :raises EndpointConnectionError: if the connection fails.
    :raises errors.RequestError: if there is no memory for it.
    """
    try:
        return await exchange.read_body(
            conn,
            total=gw.buffered,
            max_total_bytes=exchange.compute_max_buffered(gw.cfg.memory_mb),
        )
    except exchange.BufferFullError as exc:
        # Not a failure of the endpoint, and another one could not help.
        gw.metrics.count('answers_without_memory')
        raise errors.RequestError(
            errors.ErrorCode.ENDPOINT_FAILED,
            f'{exc}; the request may have run',
            verdict_lib.Verdict.MAY_HAVE_RUN,
        ) from exc
    except http1.BrokenConnectionError as exc:
        raise _make_answer_error(gw, exc) from exc


def _make_answer_error(
    gw: context.Gateway, exc: http1.BrokenConnectionError
) -> EndpointConnectionError:
    if isinstance(exc, client_lib.AnswerResetError):
        gw.metrics.count('answers_reset')
    return _make_connection_error('broke off', exc)


def _make_connection_error(
    what: str, exc: http1.BrokenConnectionError
) -> EndpointConnectionError:
    is_closed = exc.errno in (errno.ECONNRESET, errno.EPIPE)
    return EndpointConnectionError(f'{what}: {exc}', is_closed)
