"""Desired states of endpoints, kept in the store.

Any node may change the desired state of an endpoint by compare-and-swap;
there is no leader. The endpoint's sidecar sends the orders that bring the
endpoint to this state.
"""

import dataclasses

import cbor2

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

MAX_ISSUE_TRIES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """The desired state of an endpoint.

    :param number: version, incremented by each change; zero if unset.
    :param models: models to be loaded.
    :param adapters: adapters to be loaded.
    :param role: its role, empty for any.
    :param issuer: issuer of the last change.
    :param change: id of the last change, to detect it after a lost reply.
    """

    number: int = 0
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    role: str = ''
    issuer: str = ''
    change: str = ''

    def encode(self) -> bytes:
        """Encode the state for the store."""
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
    def decode(cls, data: bytes) -> 'DesiredState':
        """Decode a state from the store.

        :param data: the output of `encode`.
        :raises errors.StoreError: with code `CONFIG_CORRUPT` if the data
            cannot be decoded.
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
                f'expected a desired state, got {data[:40]!r}; remove the key '
                f'and issue the order again',
            ) from exc

    def with_order(self, kind: base.OrderKind, target: str) -> 'DesiredState':
        """Return the state after one more order.

        :param kind: kind of the order.
        :param target: the model, adapter or role.
        """
        if kind is base.OrderKind.LOAD_MODEL:
            return dataclasses.replace(self, models=self.models | {target})
        if kind is base.OrderKind.LOAD_ADAPTER:
            return dataclasses.replace(self, adapters=self.adapters | {target})
        return dataclasses.replace(self, role=target)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One order to be sent.

    :param kind: kind of the order.
    :param target: the model, adapter or role.
    """

    kind: base.OrderKind
    target: str

    @property
    def is_load(self) -> bool:
        """Whether it downloads weights from the weight store."""
        return self.kind is not base.OrderKind.SET_ROLE


def plan_steps(desired: DesiredState, applied: DesiredState) -> list[Step]:
    """Return the sequence of orders that leads from one state to another.

    Models come before the adapters that depend on them, the role comes last.

    :param desired: the desired state.
    :param applied: the state that is known to be reached.
    """
    steps = [
        Step(base.OrderKind.LOAD_MODEL, model)
        for model in sorted(desired.models - applied.models)
    ]
    steps += [
        Step(base.OrderKind.LOAD_ADAPTER, adapter)
        for adapter in sorted(desired.adapters - applied.adapters)
    ]
    if desired.role and desired.role != applied.role:
        steps.append(Step(base.OrderKind.SET_ROLE, desired.role))
    return steps


class OrderStore:
    """The desired states in the store.

    :param kv: the store.
    :param prefix: key prefix, with a trailing slash.
    """

    def __init__(self, kv: base.KeyValue, prefix: str) -> None:
        self._kv = kv
        self._prefix = prefix

    def get_lease_key(self, endpoint: types.EndpointId) -> str:
        """Return the key of the lease that an endpoint's sidecar holds."""
        return f'{self._prefix}slots/{endpoint}'

    async def read(self, endpoint: types.EndpointId) -> DesiredState:
        """Return the desired state of an endpoint.

        :param endpoint: the endpoint.
        :raises errors.StoreError: as the store's calls raise.
        """
        entry = await self._kv.get(self._get_key(endpoint))
        return DesiredState.decode(entry.value) if entry else DesiredState()

    async def issue(
        self,
        endpoint: types.EndpointId,
        kind: base.OrderKind,
        target: str,
        issuer: str,
        change: str,
    ) -> DesiredState:
        """Add one order to an endpoint's desired state.

        Issuing the last change again, after an unknown outcome, has no
        further effect.

        :param endpoint: the endpoint.
        :param kind: kind of the order.
        :param target: the model, adapter or role.
        :param issuer: name of the issuer.
        :param change: unique id of the change.
        :returns: the desired state including the order.
        :raises errors.StoreError: `NOT_RUN` if it was not issued,
            `MAY_HAVE_RUN` if it may have been.
        """
        outcome = verdict_lib.Verdict.NOT_RUN
        for _ in range(MAX_ISSUE_TRIES):
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
    ) -> DesiredState | None:
        key = self._get_key(endpoint)
        entry = await self._kv.get(key)
        state = DesiredState.decode(entry.value) if entry else DesiredState()
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
