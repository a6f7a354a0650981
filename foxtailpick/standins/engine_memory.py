"""In-process adapter of the model engine stand-in, without sockets."""

import contextlib
import typing

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.standins import engine_state
from foxtailpick.standins import weights


class MemoryEngine(base.Engine):
    """Engine adapter over a state in the same process.

    :param state: state of the engine.
    """

    def __init__(self, state: engine_state.EngineState) -> None:
        self._state = state

    @contextlib.asynccontextmanager
    async def stream_chat(
        self, call: base.ChatCall
    ) -> typing.AsyncIterator[typing.AsyncIterator[base.TokenChunk]]:
        with contextlib.ExitStack() as stack:
            try:
                run = stack.enter_context(self._state.admit(call))
            except engine_state.EngineOverloadedError as exc:
                raise errors.RequestError(
                    errors.ErrorCode.OVERLOADED, str(exc)
                ) from exc
            yield _RunChunks(run)

    async def cancel(self, request: types.RequestId) -> bool:
        return self._state.cancel(request)

    async def read_load(self) -> base.EngineLoad:
        return self._state.read_load()

    async def read_cache_events(self, after: int) -> list[base.CacheEvent]:
        return self._state.read_cache_events(after)

    async def send_order(self, order: base.Order) -> None:
        try:
            await self._state.apply_order(order)
        except engine_state.OrderFencedError as exc:
            raise errors.RequestError(
                errors.ErrorCode.ORDER_FENCED, str(exc)
            ) from exc
        except weights.WeightsBusyError as exc:
            raise errors.RequestError(
                errors.ErrorCode.OVERLOADED, str(exc)
            ) from exc


class _RunChunks:
    """Asynchronous iterator over the chunks of a run.

    :param run: the run.
    """

    def __init__(self, run: engine_state.Run) -> None:
        self._run = run
        self._is_closed = False

    def __aiter__(self) -> '_RunChunks':
        return self

    async def __anext__(self) -> base.TokenChunk:
        if self._is_closed:
            raise StopAsyncIteration
        offset = self._run.call.resume_from + self._run.generated_tokens
        token = await self._run.generate_token()
        if token is not None:
            return base.TokenChunk(offset, token)
        self._is_closed = True
        reason = 'cancelled' if self._run.is_cancelled else 'stop'
        return base.TokenChunk(offset, '', reason, self._run.make_usage())
