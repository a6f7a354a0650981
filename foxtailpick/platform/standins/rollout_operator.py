"""A stand-in for operators who order roll-outs, and for bad versions."""

import base64
import dataclasses
import json
import random
import typing

import trio

from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.platform.standins import endpoint_server
from foxtailpick.platform.standins import store_server

ORDER_PREFIX = 'op/rollout/'
STATUS_PREFIX = 'status/rollout/'
CHECK_INTERVAL_MS = 5.0
_FINAL = (model.RolloutState.COMPLETED, model.RolloutState.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a version.

    :param failing_share: share of its answers that are failures.
    :param slowness: factor on the time of its answers.
    :param after_ms: time from its start until it turns bad.
    :param prefix: prefix of the paths that are affected.
    """

    failing_share: float = 0.0
    slowness: float = 1.0
    after_ms: float = 0.0
    prefix: str = '/'


SOUND = Fault()


def make_script(
    work_ms: float, fault: Fault, rng: random.Random
) -> endpoint_server.Script:
    """Return a script of an endpoint of a version.

    :param work_ms: time that an answer takes.
    :param fault: what is wrong with the version.
    :param rng: source of random numbers.
    """
    began_s = trio.current_time()

    async def answer(exchange: endpoint_server.Exchange) -> None:
        passed_ms = (trio.current_time() - began_s) * types.SECOND_MS
        is_bad = passed_ms >= fault.after_ms and (
            exchange.received.target.decode().startswith(fault.prefix)
        )
        factor = fault.slowness if is_bad else 1.0
        await trio.sleep(work_ms * factor / types.SECOND_MS)
        if is_bad and rng.random() < fault.failing_share:
            await exchange.answer(500, b'failed')
            return
        await exchange.answer()

    return answer


class RolloutOperator:
    """Writes orders to a store stand-in and reads what answers them.

    :param store: the store.
    """

    def __init__(self, store: store_server.PlatformStoreStandIn) -> None:
        self._store = store

    def order(
        self, service: str, version: str, duration_s: typing.Any
    ) -> None:
        """Order a service to move to a version."""
        self._store.put(
            ORDER_PREFIX + service,
            {'service': service, 'to': version, 'duration_s': duration_s},
        )

    def withdraw(self, service: str) -> None:
        """Remove the order of a service."""
        self._store.remove(ORDER_PREFIX + service)

    def list_states(self, service: str) -> list[tuple[str, str]]:
        """Return the states of a service that were written, with versions."""
        return [
            (status['state'], status['to'])
            for event in self._store.history
            if event['key'] == STATUS_PREFIX + service
            and not event.get('removed')
            for status in [json.loads(base64.b64decode(event['value']))]
        ]

    async def wait_for_final(
        self, service: str, version: str
    ) -> model.RolloutState:
        """Wait until an order is answered; return its final state."""
        while True:
            for value, to in reversed(self.list_states(service)):
                state = model.RolloutState(value)
                if to == version and state in _FINAL:
                    return state
                break
            await trio.sleep(CHECK_INTERVAL_MS / types.SECOND_MS)
