"""Runs calls at most once, under a claim in the store."""

import typing

import cbor2
from loguru import logger
import trio

from foxtailpick.adapters import base
from foxtailpick.core import claim_records
from foxtailpick.core import claimed_attempts
from foxtailpick.core import claims
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import errors
from foxtailpick.core import group_commit
from foxtailpick.core import invariants
from foxtailpick.core import jobs
from foxtailpick.core import messages
from foxtailpick.core import types
from foxtailpick.sidecar import gate as gate_lib

CallService = typing.Callable[
    [messages.OpenCall], typing.Awaitable[messages.Answer]
]


class AtMostOnceRunner:
    """Runs the non-idempotent calls of a sidecar.

    :param gate: admission control of the endpoint.
    :param kv: the platform's store.
    :param endpoint: the endpoint.
    :param monitor: checks the invariants.
    :param interval_ms: mean time between two group commits of claims.
    """

    def __init__(
        self,
        gate: gate_lib.Gate,
        kv: base.KeyValue,
        endpoint: types.EndpointId,
        monitor: invariants.Monitor,
        interval_ms: float,
    ) -> None:
        self._gate = gate
        self._clock = clock_lib.Clock.from_trio()
        owner = claim_records.ClaimOwner(endpoint, gate.attempts.incarnation)
        limits = group_commit.CommitLimits(interval_ms)
        self._committer = group_commit.GroupCommitter(kv, limits)
        self._engine = claims.ClaimEngine(
            self._committer, owner, self._clock, monitor
        )

    async def run(
        self, work: messages.OpenCall, call_service: CallService
    ) -> messages.Answer:
        """Run a call unless its idempotency key was used before.

        :param work: the call.
        :param call_service: calls the service.
        :returns: the answer, or that of the earlier call with the key.
        :raises errors.FoxtailError: if the call failed, with its verdict.
        """
        key = self._make_key(work)

        async def call() -> bytes:
            return _pack_answer(await call_service(work))

        report = await claimed_attempts.serve_attempt(
            self._gate.attempts,
            self._engine,
            work.attempt,
            key,
            _encode_request(work),
            call,
            self._clock,
        )
        return _unpack_answer(work.attempt, report.answer)

    def _make_key(self, work: messages.OpenCall) -> claim_records.ClaimKey:
        try:
            return claim_records.ClaimKey(work.account, work.service, work.key)
        except errors.RequestError:
            self._gate.attempts.refuse(work.attempt, self._clock.now())
            raise

    async def run_commits(self) -> None:
        """Run group commits and flush pending results, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._committer.run)
            while True:
                await clock_lib.sleep_ms(claims.FLUSH_INTERVAL_MS)
                await self.flush()

    async def flush(self) -> None:
        """Try once to write pending results to the store."""
        if not self._engine.pending:
            return
        try:
            await self._engine.flush_pending(jobs.run_concurrently)
        except errors.StoreError as exc:
            logger.warning(
                'CLAIM {} keys not settled. {}', self._engine.pending, exc
            )


def _encode_request(work: messages.OpenCall) -> bytes:
    # An idempotency key covers the method, path and body of its request.
    return f'{work.method} {work.path}\n'.encode() + work.body


def _pack_answer(answer: messages.Answer) -> bytes:
    return cbor2.dumps([answer.status, answer.content_type, answer.body])


def _unpack_answer(attempt: types.AttemptId, data: bytes) -> messages.Answer:
    status, content_type, body = cbor2.loads(data)
    return messages.Answer(attempt, status, content_type, body)
