"""Exchanges the evidence and the final states of roll-outs with the hub.

Messages are sent while an order is open, and for a moment after it when
another router shows that it doesn't know of the end.
"""

import typing

import cbor2

from foxtailpick.core.dispatch import model
from foxtailpick.core.dispatch import rollout_records
from foxtailpick.core.dispatch import rollout_reports
from foxtailpick.core import types
from foxtailpick.gateway import context
from foxtailpick.gateway import rollouts as rollouts_lib

_KIND_REPORT = 14
_KIND_TOTALS = 15
# Routers that missed a final state are told it for this time, at this pace.
TELL_MS = 2_000.0
TELL_INTERVAL_MS = 400.0
# Final states in a message; each of them takes up to 220 bytes.
MAX_STATES = 4

# Entries of `rollout_reports`, and final states by order.
Contents = list[typing.Any]


class RolloutExchange:
    """What this router tells and is told of roll-outs.

    :param gw: the gateway.
    :param keeper: carries out the orders.
    """

    def __init__(
        self, gw: context.Gateway, keeper: rollouts_lib.RolloutKeeper
    ) -> None:
        self._gw = gw
        self._keeper = keeper
        self._hub = rollout_reports.HubRollouts()
        self._tell_until_ms = 0.0
        self._told_ms = 0.0

    def make_reports(self, now_ms: float) -> list[bytes]:
        """Return the messages to the hub, each for one packet.

        :param now_ms: current time.
        """
        entries = self._make_entries(now_ms)
        return self._make_messages(_KIND_REPORT, entries, now_ms)

    def make_totals(self, now_ms: float) -> list[bytes]:
        """Return the hub's messages to all routers, each for one packet.

        Its own evidence is part of them, and they are applied to it.

        :param now_ms: current time.
        """
        own = self._make_entries(now_ms)
        self._hub.record(self._gw.cfg.name, own, now_ms)
        entries = self._hub.merge(now_ms)
        self._apply(entries, now_ms)
        return self._make_messages(_KIND_TOTALS, entries, now_ms)

    def repeat_all(self) -> None:
        """Tell everything again, as there is a new hub."""
        for rollout in self._keeper.list_open():
            rollout_reports.repeat_all(rollout)

    def handle(
        self,
        kind: int,
        router: types.RouterId,
        contents: Contents,
        is_hub: bool,
        now_ms: float,
    ) -> None:
        """Handle a message of another router, if it is about roll-outs.

        :param kind: kind of the message.
        :param router: the router.
        :param contents: contents of the message.
        :param is_hub: whether the router is the hub of this one.
        :param now_ms: current time.
        :raises ValueError: if the contents are malformed.
        """
        if kind == _KIND_REPORT:
            entries, states = _decode(contents)
            self._hub.record(router, entries, now_ms)
        elif kind == _KIND_TOTALS and is_hub:
            entries, states = _decode(contents)
            self._apply(entries, now_ms)
        else:
            return
        self._record_states(entries, states, now_ms)

    def _make_entries(self, now_ms: float) -> list[typing.Any]:
        return [
            entry
            for rollout in self._keeper.list_open()
            for entry in rollout_reports.make_report(rollout, now_ms)
        ]

    def _make_messages(
        self, kind: int, entries: list[typing.Any], now_ms: float
    ) -> list[bytes]:
        agreed = self._keeper.list_agreed()
        messages: list[Contents] = [
            [[entry], {}] for entry in entries if entry[0] not in agreed
        ]
        if (
            now_ms < self._tell_until_ms
            and now_ms - self._told_ms >= TELL_INTERVAL_MS
        ):
            self._told_ms = now_ms
            latest = list(agreed.items())[-MAX_STATES:]
            states = {order: state.value for order, state in latest}
            messages.append([[], states])
        head = [kind, self._gw.cfg.name, 0]
        return [cbor2.dumps([*head, *contents]) for contents in messages]

    def _apply(self, entries: list[typing.Any], now_ms: float) -> None:
        for rollout in self._keeper.list_open():
            rollout_reports.apply_totals(rollout, entries, now_ms)

    def _record_states(
        self,
        entries: list[typing.Any],
        states: dict[types.RolloutId, model.RolloutState],
        now_ms: float,
    ) -> None:
        agreed = self._keeper.list_agreed()
        for order, state in states.items():
            self._keeper.record_told(order, state)
        # A router that still collects evidence has missed the end.
        if any(order in agreed for order, _, _ in entries):
            self._tell_until_ms = now_ms + TELL_MS


def _decode(
    contents: Contents,
) -> tuple[list[typing.Any], dict[types.RolloutId, model.RolloutState]]:
    if len(contents) != 2 or not isinstance(contents[1], dict):
        raise ValueError(
            f'expected entries and final states, got {contents!r:.80}'
        )
    entries = rollout_reports.decode_reports(contents[0])
    states = {}
    for order, value in contents[1].items():
        state = model.RolloutState(value)
        if not isinstance(order, str) or not rollout_records.is_final(state):
            raise ValueError(
                f'expected an order and a final state, got {order!r:.80} and '
                f'{value!r:.80}'
            )
        states[types.RolloutId(order)] = state
    return entries, states
