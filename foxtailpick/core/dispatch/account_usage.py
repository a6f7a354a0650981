"""Detects requests above an account's equal share of a full service.

Load pattern: one account sends many times its usual rate while the engines
are full, so that the requests of all accounts queue behind its own. Each
account is guaranteed an equal share of the service; requests above it use
only slots that other accounts leave free. While slots are free, shares are
not enforced, so an uneven split wastes no capacity.

Each router counts usage on its own: callers are spread randomly over the
routers, so that all routers see about the same split.
"""

import dataclasses
import random

from foxtailpick.core import types

# Half-life of recorded cost, about the duration of a long answer.
HALF_LIFE_MS = 2_000.0
# Accounts below this share of the mean usage count as inactive.
MIN_ACTIVE_SHARE = 0.02
# Mean utilization from which on a service counts as full: load is not spread
# evenly, so some endpoints already queue requests.
FULL_UTILIZATION = 0.9
# Cost of an output token relative to a prompt token, as the operators
# define it.
OUTPUT_TOKEN_WEIGHT = 10.0


@dataclasses.dataclass(slots=True)
class AccountUsage:
    """Cost of each account's requests at one service, decayed by age."""

    cost: dict[types.AccountId, float] = dataclasses.field(
        default_factory=dict
    )
    decayed_ms: float = 0.0


def estimate_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Return the cost of a request in prompt tokens.

    :param prompt_tokens: length of its prompt, 0 if unknown.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    """
    return 1.0 + prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens


def record_request(
    usage: AccountUsage, account: types.AccountId, cost: float, now_ms: float
) -> None:
    """Add a request to its account's usage and drop inactive accounts.

    :param usage: usage of the service by account.
    :param account: account of the request.
    :param cost: cost of the request.
    :param now_ms: current time.
    """
    factor = 0.5 ** ((now_ms - usage.decayed_ms) / HALF_LIFE_MS)
    usage.decayed_ms = now_ms
    for key in usage.cost:
        usage.cost[key] *= factor
    usage.cost[account] = usage.cost.get(account, 0.0) + cost
    limit = MIN_ACTIVE_SHARE * sum(usage.cost.values()) / len(usage.cost)
    for key in [key for key, item in usage.cost.items() if item < limit]:
        del usage.cost[key]


def compute_share_ratio(
    usage: AccountUsage, account: types.AccountId
) -> float:
    """Return an account's usage as a multiple of the equal share.

    :param usage: usage of the service by account.
    :param account: the account.
    """
    total = sum(usage.cost.values())
    if total <= 0:
        return 0.0
    return usage.cost.get(account, 0.0) * len(usage.cost) / total


def is_above_share(
    ratio: float, utilization: float, rng: random.Random
) -> bool:
    """Tell whether a request counts as above its account's equal share.

    The requests within the share are selected at random, so that all
    callers of the account are served alike.

    :param ratio: the account's usage as a multiple of the equal share.
    :param utilization: mean share of the service's slots in use.
    :param rng: source of random numbers.
    """
    if ratio <= 1 or utilization < FULL_UTILIZATION:
        return False
    return rng.random() > 1 / ratio
