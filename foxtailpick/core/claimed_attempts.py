"""Execution of an opened attempt of a non-idempotent call."""

import dataclasses
import typing

from foxtailpick.core import attempts
from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

if typing.TYPE_CHECKING:
    from foxtailpick.core import clock as clock_lib

Verdict = verdict_lib.Verdict


async def serve_attempt(
    table: attempts.AttemptTable,
    engine: claims.ClaimEngine,
    attempt: types.AttemptId,
    key: claim_records.ClaimKey,
    body: bytes,
    call: claims.Call,
    clock: 'clock_lib.Clock | clock_lib.ManualClock',
) -> attempts.AttemptReport:
    """Run an attempt that the table has opened as new.

    Run it in a task of the sidecar rather than of the link, because a lost
    link must not cancel a call.

    :param table: the sidecar's attempts.
    :param engine: the sidecar's claim engine.
    :param attempt: the attempt.
    :param key: identifies the call.
    :param body: the request.
    :param call: runs the call, see `ClaimEngine.run_once`.
    :param clock: monotonic clock.
    :returns: the report of the attempt, with the answer of the call
        regardless of its size.
    :raises errors.FoxtailError: as `ClaimEngine.run_once` does; the
        verdict is recorded in the table.
    """
    is_started = False

    async def start_and_call() -> bytes:
        nonlocal is_started
        table.start(attempt)
        is_started = True
        return await call()

    try:
        stored = await engine.run_once(key, body, start_and_call)
    except errors.InvariantError:
        raise
    except errors.FoxtailError as exc:
        table.finish(attempt, exc.verdict, None, clock.now())
        raise
    except BaseException:
        verdict = Verdict.MAY_HAVE_RUN if is_started else Verdict.NOT_RUN
        table.finish(attempt, verdict, None, clock.now())
        raise
    report = table.finish(attempt, Verdict.RAN, stored.answer, clock.now())
    # The table stores small answers only; the caller gets any answer.
    return dataclasses.replace(report, answer=stored.answer)
