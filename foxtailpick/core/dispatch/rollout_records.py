"""Decides what the routers write about an order to roll out a version.

Load pattern: all routers learn of an order and of a verdict at the same
time, some of them late or after a suspension, and the store executes calls
whose answers were lost seconds later. The record of an order is therefore
written on the condition that it is still the one that was read, together
with the status for the operators. A final state never changes, so that
`completed` and `rolled_back` exclude each other. The record of another order
is replaced, so a router makes sure before that its order is the latest one:
revisions don't tell, since a restored store gives them out again.

The hub writes first. The others wait for a random time that grows with the
fleet, so that few of them call the store before they see what was written.
"""

import dataclasses
import random
import typing

from foxtailpick.core.dispatch import model
from foxtailpick.core import types

# Time that a router other than the hub leaves to the hub, and time by which
# the others' writes are spread for each of them.
FIRST_DELAY_MS = 400.0
DELAY_PER_ROUTER_MS = 50.0
# Spread of the reads of the record after an order, for each router.
READ_SPREAD_PER_ROUTER_MS = 10.0
# After the return of the store from an older copy, those that know a final
# state write it again before anyone writes a new verdict.
RESTORED_DELAY_MS = 3_000.0

_FINAL = (model.RolloutState.COMPLETED, model.RolloutState.ROLLED_BACK)


def is_final(state: model.RolloutState) -> bool:
    """Tell whether a state never changes.

    :param state: state of an order.
    """
    return state in _FINAL


def plan_record(
    order: model.RolloutOrder,
    state: model.RolloutState,
    began_unix_ms: float,
    record: model.RolloutRecord | None,
    listed: typing.Iterable[types.Version] = (),
) -> model.RolloutRecord | None:
    """Return the record to write, None if the present one has to stay.

    :param order: the order.
    :param state: its state, as far as this router knows.
    :param began_unix_ms: when this router learned of the order.
    :param record: the present record of its service, if any.
    :param listed: versions of the service's endpoints.
    """
    if record is None or record.order != order.id:
        if record is not None and is_in_force(order, record):
            state = model.RolloutState.COMPLETED
        record = model.RolloutRecord(
            order.id,
            order.version,
            order.revision,
            state,
            began_unix_ms,
            compute_barred(order, record),
        )
    elif is_final(record.state) or record.state is state:
        return None
    barred = record.barred
    if state is model.RolloutState.COMPLETED:
        barred = tuple({*barred, *listed} - {order.version})
    return dataclasses.replace(
        record, state=state, barred=tuple(sorted(barred))
    )


def is_in_force(
    order: model.RolloutOrder, record: model.RolloutRecord
) -> bool:
    """Tell whether the order before moved the service to the same version.

    :param order: the order.
    :param record: record of the order before it.
    """
    return (
        record.state is model.RolloutState.COMPLETED
        and record.version == order.version
    )


def compute_barred(
    order: model.RolloutOrder, record: model.RolloutRecord | None
) -> tuple[types.Version, ...]:
    """Return the versions of earlier orders that were not completed.

    Their endpoints may still be listed beside those of the new order.

    :param order: the new order.
    :param record: record of the order before it, if any.
    """
    if record is None:
        return ()
    barred = list(record.barred)
    if record.state is not model.RolloutState.COMPLETED:
        barred.append(record.version)
    return tuple(
        version
        for version in dict.fromkeys(barred)
        if version != order.version
    )


def compute_write_delay_ms(
    is_hub: bool, routers: int, rng: random.Random
) -> float:
    """Return how long a router leaves a write to the others.

    :param is_hub: whether this router is the hub, or the only one.
    :param routers: number of routers.
    :param rng: source of random numbers.
    """
    if is_hub:
        return 0.0
    return FIRST_DELAY_MS + rng.uniform(0.0, DELAY_PER_ROUTER_MS * routers)


def compute_read_delay_ms(routers: int, rng: random.Random) -> float:
    """Return the time from an order to the first read of its record.

    :param routers: number of routers.
    :param rng: source of random numbers.
    """
    return rng.uniform(0.0, READ_SPREAD_PER_ROUTER_MS * routers)
