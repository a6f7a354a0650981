"""Shares the rate of one endpoint between many routers.

Load pattern: an endpoint starts, or returns to service cold, while others
crash, so that many routers have requests for it at the same moment. Each
router uses an equal share of the rate that the endpoint sustains, so that the
total holds without coordination. A router that saves its share for later adds
to a burst of all of them: where there are many, their saved requests alone
exceed what the endpoint takes in a second. So a router's share comes in slots
that lapse if they are not used soon, and routers have them at different
times.
"""

import dataclasses
import random

from foxtailpick.core import types

# Usable share of the rate, since clocks and the routers' counts of each other
# differ, and slots come together by chance.
USABLE_SHARE = 0.85
# Requests that all routers together may have saved. Each endpoint tolerates a
# burst of at least five beyond its rate.
MAX_SAVED = 5
# Where there are more routers than that, the number that is saved on average.
MEAN_SAVED = 1.0


@dataclasses.dataclass(slots=True)
class RateShare:
    """A router's share of the rate of one endpoint.

    :param slots: number of slots, with the part of the next one that has
        passed; a request may be sent from 1 on. None before the first use.
    :param updated_ms: time of that number.
    """

    slots: float | None = None
    updated_ms: float = 0.0


def has_slot(
    share: RateShare,
    rate_per_s: float,
    routers: int,
    now_ms: float,
    rng: random.Random,
) -> bool:
    """Tell whether this router may send a request to the endpoint now.

    :param share: its share.
    :param rate_per_s: requests per second from all routers.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    :param rng: source of random numbers, for the time of the first slot.
    """
    open_part = 1.0 if routers <= MAX_SAVED else MEAN_SAVED / routers
    if share.slots is None:
        share.slots = open_part + (0.0 if open_part == 1 else rng.random())
    else:
        passed_s = (now_ms - share.updated_ms) / types.SECOND_MS
        share.slots += passed_s * rate_per_s * USABLE_SHARE / routers
    share.updated_ms = now_ms
    if open_part == 1:
        share.slots = min(1.0, share.slots)
    elif share.slots >= 1 + open_part:
        # The slots that have passed meanwhile have lapsed.
        share.slots = open_part + (share.slots - open_part) % 1
    return share.slots >= 1


def take_slot(share: RateShare) -> None:
    """Use the slot for a request that is sent.

    :param share: this router's share.
    """
    if share.slots is not None:
        share.slots -= 1
