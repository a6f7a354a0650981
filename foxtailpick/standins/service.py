"""Stand-in for a plain service whose calls are not idempotent."""

import collections
import dataclasses
import enum
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailpick.adapters import http
from foxtailpick.core import clock

HTTP_CREATED = 201
KEY_HEADER = 'idempotency-key'


class Fault(enum.Enum):
    """Fault of one call."""

    NONE = 'none'
    FAIL_BEFORE_RUN = 'fail-before-run'
    CRASH_BEFORE_RUN = 'crash-before-run'
    LOST_REPLY = 'lost-reply'
    SILENT_AFTER_RUN = 'silent-after-run'


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Calls that the service has run, and the faults to inject.

    :param runs: how often each call ran, by idempotency key, or by path
        and body if a call has none.
    :param faults: faults of the next calls, in order.
    :param delay_ms: duration of each call, in milliseconds.
    :param in_flight: number of calls in flight.
    :param is_crashed: whether connections break before any call runs.
    """

    runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: collections.deque[Fault] = dataclasses.field(
        default_factory=collections.deque
    )
    delay_ms: float = 0.0
    in_flight: int = 0
    is_crashed: bool = False

    def pop_fault(self) -> Fault:
        """Remove and return the fault of the next call."""
        if self.is_crashed:
            return Fault.CRASH_BEFORE_RUN
        return self.faults.popleft() if self.faults else Fault.NONE

    def run(self, key: str) -> int:
        """Run a call; the service does not deduplicate calls.

        :param key: key of the call in `runs`.
        :returns: how often it has run, including this time.
        """
        self.runs[key] += 1
        return self.runs[key]


def make_app(state: ServiceState) -> applications.Starlette:
    """Return the ASGI app of a plain service.

    `GET` is idempotent and returns the number of runs, `POST` runs a call.

    :param state: state of the service.
    """

    async def read(req: requests.Request) -> responses.Response:
        return responses.JSONResponse({'runs': state.runs.total()})

    async def run(req: requests.Request) -> responses.Response:
        body = await req.body()
        key = req.headers.get(KEY_HEADER)
        key = key or f'{req.url.path} {body.decode("latin-1")}'
        fault = state.pop_fault()
        if fault is Fault.CRASH_BEFORE_RUN:
            return _TruncatedResponse()
        if fault is Fault.FAIL_BEFORE_RUN:
            return responses.JSONResponse(
                {'detail': 'service unavailable'},
                status_code=http.HTTP_UNAVAILABLE,
            )
        state.in_flight += 1
        try:
            await clock.sleep_ms(state.delay_ms)
        finally:
            state.in_flight -= 1
        count = state.run(key)
        if fault is Fault.LOST_REPLY:
            return _TruncatedResponse()
        if fault is Fault.SILENT_AFTER_RUN:
            await trio.sleep_forever()
        return responses.JSONResponse(
            {'key': key, 'run': count}, status_code=HTTP_CREATED
        )

    return applications.Starlette(
        routes=[
            routing.Route('/{path:path}', read, methods=['GET']),
            routing.Route('/{path:path}', run, methods=['POST']),
        ]
    )


class _TruncatedResponse(responses.Response):
    """Closes the connection before the response is complete."""

    async def __call__(
        self,
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': HTTP_CREATED,
                'headers': [(b'content-length', b'1')],
            }
        )
