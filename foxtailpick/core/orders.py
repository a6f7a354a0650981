"""What endpoints are ordered to do: a wanted state for each, in the store.

Any node may change the wanted state of an endpoint, by compare-and-swap;
there is no leader. The endpoint's sidecar carries it out.
"""

import dataclasses

import cbor2

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

ISSUE_TRIES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class WantedState:
    """What an endpoint should have and be.

    :param number: grows by one with each change, zero for none yet.
    :param models: models to have loaded.
    :param adapters: adapters to have loaded.
    :param role: its role, empty for any.
    :param issuer: who changed it last.
    :param change: id of the last change, to find it after a lost reply.
    """

    number: int = 0
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    role: str = ''
    issuer: str = ''
    change: str = ''

    def encode(self) -> bytes:
        """Return its bytes in the store."""
        return cbor2.dumps(
            [
                self.number,
                sorted(self.models),
                sorted(self.adapters),
                self.role,
                self.issuer,
                self.change,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> 'WantedState':
        """Read the bytes from the store.

        :param data: as `encode` made them.
        :raises errors.StoreError: with code `CONFIG_CORRUPT` if they are
            not such a state.
        """
        try:
            number, models, adapters, role, issuer, change = cbor2.loads(data)
            return cls(
                int(number),
                frozenset(models),
                frozenset(adapters),
                role,
                issuer,
                change,
            )
        except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
            raise errors.StoreError(
                errors.ErrorCode.CONFIG_CORRUPT,
                f'expected a wanted state, got {data[:40]!r}; remove the key '
                f'and issue the order again',
            ) from exc

    def with_order(self, kind: base.OrderKind, target: str) -> 'WantedState':
        """Return the state after one more order.

        :param kind: what to do.
        :param target: the model, adapter or role.
        """
        if kind is base.OrderKind.LOAD_MODEL:
            return dataclasses.replace(self, models=self.models | {target})
        if kind is base.OrderKind.LOAD_ADAPTER:
            return dataclasses.replace(self, adapters=self.adapters | {target})
        return dataclasses.replace(self, role=target)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One order still to be sent.

    :param kind: what to do.
    :param target: the model, adapter or role.
    """

    kind: base.OrderKind
    target: str

    @property
    def is_load(self) -> bool:
        """Whether it takes weights from the weight store."""
        return self.kind is not base.OrderKind.SET_ROLE


def plan_steps(wanted: WantedState, done: WantedState) -> list[Step]:
    """Return the orders that lead from one state to another, in order.

    Models come before the adapters that need them, the role comes last.

    :param wanted: the wanted state.
    :param done: what is known to be done.
    """
    steps = [
        Step(base.OrderKind.LOAD_MODEL, model)
        for model in sorted(wanted.models - done.models)
    ]
    steps += [
        Step(base.OrderKind.LOAD_ADAPTER, adapter)
        for adapter in sorted(wanted.adapters - done.adapters)
    ]
    if wanted.role and wanted.role != done.role:
        steps.append(Step(base.OrderKind.SET_ROLE, wanted.role))
    return steps


class OrderBook:
    """The wanted states in the store.

    :param kv: the store.
    :param prefix: its key prefix, with a closing slash.
    """

    def __init__(self, kv: base.KeyValue, prefix: str) -> None:
        self._kv = kv
        self._prefix = prefix

    def get_slot_key(self, endpoint: types.EndpointId) -> str:
        """Return the key on which an endpoint's sidecar holds its lease."""
        return f'{self._prefix}slots/{endpoint}'

    async def read(self, endpoint: types.EndpointId) -> WantedState:
        """Return the wanted state of an endpoint.

        :param endpoint: the endpoint.
        :raises errors.StoreError: as the store's calls raise.
        """
        entry = await self._kv.get(self._get_key(endpoint))
        return WantedState.decode(entry.value) if entry else WantedState()

    async def issue(
        self,
        endpoint: types.EndpointId,
        kind: base.OrderKind,
        target: str,
        issuer: str,
        change: str,
    ) -> WantedState:
        """Add one order to an endpoint's wanted state.

        Issuing the same change again after an unknown outcome does not
        repeat it.

        :param endpoint: the endpoint.
        :param kind: what to do.
        :param target: the model, adapter or role.
        :param issuer: who wants it.
        :param change: id of the change, never used twice.
        :returns: the wanted state with the order.
        :raises errors.StoreError: `NOT_RUN` if it was not issued,
            `MAY_HAVE_RUN` if it may have been.
        """
        outcome = verdict_lib.Verdict.NOT_RUN
        for _ in range(ISSUE_TRIES):
            try:
                state = await self._try_issue(
                    endpoint, kind, target, issuer, change
                )
            except errors.StoreError as exc:
                outcome = verdict_lib.merge_verdicts(outcome, exc.verdict)
                if exc.verdict is verdict_lib.Verdict.NOT_RUN:
                    break
                continue
            if state is not None:
                return state
        raise errors.StoreError(
            errors.ErrorCode.STORE_OUTCOME_UNKNOWN
            if outcome is verdict_lib.Verdict.MAY_HAVE_RUN
            else errors.ErrorCode.STORE_UNAVAILABLE,
            f'expected to issue {kind.value} {target} to {endpoint}; '
            f'issue the same change again',
            outcome,
        )

    async def _try_issue(
        self,
        endpoint: types.EndpointId,
        kind: base.OrderKind,
        target: str,
        issuer: str,
        change: str,
    ) -> WantedState | None:
        key = self._get_key(endpoint)
        entry = await self._kv.get(key)
        state = WantedState.decode(entry.value) if entry else WantedState()
        if state.change == change:
            return state
        newer = dataclasses.replace(
            state.with_order(kind, target),
            number=state.number + 1,
            issuer=issuer,
            change=change,
        )
        revision = entry.revision if entry else base.ABSENT
        result = await self._kv.compare_and_swap(key, revision, newer.encode())
        return newer if result.is_applied else None

    def _get_key(self, endpoint: types.EndpointId) -> str:
        return f'{self._prefix}orders/{endpoint}'
