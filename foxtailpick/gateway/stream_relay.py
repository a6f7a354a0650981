"""Relays the stream of one attempt, of which several may be in flight."""

import trio

from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import event_stream
from foxtailpick.core.dispatch import model
from foxtailpick.gateway import client as client_lib
from foxtailpick.gateway import context
from foxtailpick.gateway import endpoint_io
from foxtailpick.gateway import job as job_lib
from foxtailpick.gateway import quarantine
from foxtailpick.gateway import reply as reply_lib
from foxtailpick.gateway import stream_path


async def relay_stream(
    gw: context.Gateway,
    job: job_lib.Job,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
    reply: reply_lib.Reply,
    hooks: context.GroupHooks,
    head: client_lib.ResponseHead,
    meta: model.ResponseMeta,
) -> None:
    """Relay a stream to its end.

    :param gw: the gateway.
    :param job: the request.
    :param attempt: the attempt.
    :param conn: the connection to its endpoint.
    :param reply: writer of the response to the caller.
    :param hooks: the other attempts of the request.
    :param head: head of the endpoint's response.
    :param meta: its decoded headers.
    :raises endpoint_io.InvalidResponseError: if the stream is not complete.
    :raises endpoint_io.EndpointConnectionError: if the connection fails.
    """
    splitter = job.splitter
    boundary = event_stream.EventBoundary()
    # A stalled endpoint may send parts of an event now and then.
    attempt.is_in_stream = True
    is_closed = head.framing is client_lib.Framing.CLOSE
    is_sound = False
    # Data before the first whole event: until then another attempt may go
    # on, and the splitter holds the state of its stream.
    early = b''
    is_taken_over = False
    while True:
        chunk, is_ended = await _read_chunk(gw, attempt, conn)
        job.is_answer_read = is_ended
        has_event_end = _feed(boundary, chunk)
        if has_event_end:
            endpoint_io.record_progress(attempt, gw.now_ms())
        job.is_within_event = boundary.is_within_event
        if not is_taken_over:
            early += chunk
            is_whole = is_ended and not is_closed
            if not (boundary.has_event or is_whole or splitter is None):
                await claim_response(hooks, False)
                if is_ended:
                    break
                continue
            chunk = early
        # A whole event is relayed even if a part of the next one follows.
        is_answer = has_event_end or not boundary.is_within_event
        await claim_response(hooks, is_answer)
        if not is_taken_over:
            is_taken_over = True
            stream_path.record_begun(gw, job, attempt.endpoint)
            _take_over_stream(job, reply, head, meta)
        if splitter is not None:
            chunk = _split_events(splitter, chunk)
        if not is_sound and _is_past_start(gw, attempt):
            is_sound = True
            quarantine.record_sound(gw, job)
        if chunk:
            await reply.send_chunk(chunk)
        if is_ended:
            break
    if boundary.is_within_event or (
        splitter is not None and not splitter.is_at_boundary
    ):
        raise endpoint_io.InvalidResponseError(
            'stream ended within an event', is_closed
        )
    if boundary.is_empty and is_closed:
        # Only the close of the connection says that this is all.
        raise endpoint_io.InvalidResponseError(
            'stream closed before its first event', is_closed
        )
    await reply.finish()


async def _read_chunk(
    gw: context.Gateway,
    attempt: context.Attempt,
    conn: client_lib.ClientConnection,
) -> tuple[bytes, bool]:
    """Return what has arrived of a body, and whether it ends there."""
    data: list[bytes] = []
    event = await endpoint_io.next_event(gw, attempt, conn)
    while event is not client_lib.END:
        if not isinstance(event, bytes):
            raise endpoint_io.InvalidResponseError(
                'expected a body, got a second head'
            )
        data.append(event)
        # Parts that have already arrived go out in the same write.
        if not conn.has_events():
            return b''.join(data), False
        event = await conn.next_event()
    return b''.join(data), True


async def claim_response(hooks: context.GroupHooks, is_answer: bool) -> None:
    """Wait to be cancelled if another attempt answers.

    :param hooks: the other attempts of the request.
    :param is_answer: as of `context.GroupHooks.claim`.
    """
    if not hooks.claim(is_answer):
        # Another attempt answers, and this one is already cancelled.
        await trio.sleep_forever()


def _take_over_stream(
    job: job_lib.Job,
    reply: reply_lib.Reply,
    head: client_lib.ResponseHead,
    meta: model.ResponseMeta,
) -> None:
    if not reply.is_started:
        reply.begin(
            head.status, [*meta.forwarded, *get_signature_headers(meta)]
        )
    if job.splitter is not None:
        job.splitter.drop_incomplete_event()


def _is_past_start(gw: context.Gateway, attempt: context.Attempt) -> bool:
    return (
        attempt.answered_ms is not None
        and gw.now_ms() - attempt.answered_ms >= crash_quarantine.SOUND_MS
    )


def _feed(boundary: event_stream.EventBoundary, data: bytes) -> bool:
    try:
        return boundary.feed(data)
    except ValueError as exc:
        raise endpoint_io.InvalidResponseError(str(exc)) from exc


def _split_events(splitter: event_stream.EventSplitter, data: bytes) -> bytes:
    try:
        return splitter.feed(data)
    except ValueError as exc:
        raise endpoint_io.InvalidResponseError(str(exc)) from exc


def get_signature_headers(meta: model.ResponseMeta) -> list[model.RawHeader]:
    """Return the header with the endpoint's signature, if there is one."""
    return [meta.signature] if meta.signature is not None else []
