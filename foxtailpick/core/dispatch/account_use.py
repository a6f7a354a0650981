"""Which requests go beyond an account's equal part of a full service.

Load pattern: one account sends many times its usual while the engines are
full, so that everybody's requests wait behind its crowd. An account keeps
an equal part of the service; what it sends beyond that takes only places
that others leave free. While places are free the parts make no difference,
so nothing is lost by an uneven split.

Use is counted at each router by itself: callers are spread over routers
by chance, so each sees about the same split.
"""

import dataclasses
import random

from foxtailpick.core import types

# Work counts half after this time, about the length of a long answer.
HALF_LIFE_MS = 2_000.0
# Accounts with less than this part of the mean have stopped sending.
ACTIVE_PART = 0.02
# From this part of a service's places taken on, in the mean, some requests
# wait: endpoints are not evenly loaded.
FULL_PART = 0.9
# Work of an output token in that of a prompt token, as the operators
# weigh the two.
OUTPUT_WEIGHT = 10.0


@dataclasses.dataclass(slots=True)
class AccountUse:
    """Work of the accounts at one service, weighted by age."""

    work: dict[types.AccountId, float] = dataclasses.field(
        default_factory=dict
    )
    decayed_ms: float = 0.0


def find_work(prompt_tokens: int, output_tokens: int) -> float:
    """Return the work of a request.

    :param prompt_tokens: length of its prompt, 0 if unknown.
    :param output_tokens: most tokens of its answer, 0 if unknown.
    """
    return 1.0 + prompt_tokens + OUTPUT_WEIGHT * output_tokens


def note_request(
    use: AccountUse, account: types.AccountId, work: float, now_ms: float
) -> None:
    """Count a request.

    :param use: work of the accounts at its service.
    :param account: its account.
    :param work: its work.
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
    """Return an account's use as a multiple of the equal part.

    :param use: work of the accounts at a service.
    :param account: the account.
    """
    total = sum(use.work.values())
    if total <= 0:
        return 0.0
    return use.work.get(account, 0.0) * len(use.work) / total


def is_excess(ratio: float, fullness: float, rng: random.Random) -> bool:
    """Tell whether a request leaves its place to other accounts.

    Of an account's requests, those within the equal part are drawn by
    chance, so that each of its callers gets the same part.

    :param ratio: the account's use as a multiple of the equal part.
    :param fullness: mean part of the service's places that is taken.
    :param rng: source of random numbers.
    """
    if ratio <= 1 or fullness < FULL_PART:
        return False
    return rng.random() > 1 / ratio
