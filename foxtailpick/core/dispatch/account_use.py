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
ACTIVE_PART = 0.02
# Mean share of slots in use from which on some requests queue, since load
# is not spread evenly over the endpoints.
FULL_PART = 0.9
# Cost of an output token relative to a prompt token, as the operators
# define it.
OUTPUT_WEIGHT = 10.0


@dataclasses.dataclass(slots=True)
class AccountUse:
    """Cost of each account's requests at one service, decayed by age."""

    work: dict[types.AccountId, float] = dataclasses.field(
        default_factory=dict
    )
    decayed_ms: float = 0.0


def find_work(prompt_tokens: int, output_tokens: int) -> float:
    """Return the cost of a request in prompt tokens.

    :param prompt_tokens: length of its prompt, 0 if unknown.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    """
    return 1.0 + prompt_tokens + OUTPUT_WEIGHT * output_tokens


def note_request(
    use: AccountUse, account: types.AccountId, work: float, now_ms: float
) -> None:
    """Add a request to its account's usage and drop inactive accounts.

    :param use: usage of the service by account.
    :param account: account of the request.
    :param work: cost of the request.
    :param now_ms: current time.
    """
    factor = 0.5 ** ((now_ms - use.decayed_ms) / HALF_LIFE_MS)
    use.decayed_ms = now_ms
    for key in use.work:
        use.work[key] *= factor
    use.work[account] = use.work.get(account, 0.0) + work
    limit = ACTIVE_PART * sum(use.work.values()) / len(use.work)
    for key in [key for key, item in use.work.items() if item < limit]:
        del use.work[key]


def find_ratio(use: AccountUse, account: types.AccountId) -> float:
    """Return an account's usage as a multiple of the equal share.

    :param use: usage of the service by account.
    :param account: the account.
    """
    total = sum(use.work.values())
    if total <= 0:
        return 0.0
    return use.work.get(account, 0.0) * len(use.work) / total


def is_excess(ratio: float, fullness: float, rng: random.Random) -> bool:
    """Tell whether a request counts as above its account's equal share.

    The requests within the share are selected at random, so that all
    callers of the account are served alike.

    :param ratio: the account's usage as a multiple of the equal share.
    :param fullness: mean share of the service's slots in use.
    :param rng: source of random numbers.
    """
    if ratio <= 1 or fullness < FULL_PART:
        return False
    return rng.random() > 1 / ratio
