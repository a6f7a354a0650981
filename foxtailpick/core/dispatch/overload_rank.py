"""Ranks the requests that wait for an overloaded service.

Load pattern: urgent kinds and others, prompts of 800 and of 12,000 tokens, and
accounts of which one sends nine times its usual compete for too little room.
What waits is what costs callers least: what is less urgent, what can't be in
time any more, and what takes more work. No kind, account or size is served
much less often than others.
"""

import dataclasses
import functools
import math
import typing

from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import returning
from foxtailpick.core.dispatch import served_share
from foxtailpick.core import types

# Requests whose work differs by less than this factor are ordered alike.
WORK_STEP = 4.0
# An account above this multiple of an equal share yields to the others: by one
# priority level, and by another one each time that it has twice as much. The
# work of single requests differs, so that equal accounts differ by chance.
MAX_SHARE_RATIO = 1.25
# Kinds and accounts are served at least this many times as often as all, and
# sizes as often as their kind.
MIN_KIND_SHARE = 0.4
MIN_ACCOUNT_SHARE = 0.3
MIN_SIZE_SHARE = 0.7
# Largest part of the target latency that the answer is expected to take.
MAX_BEGIN_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request to an overloaded service.

    :param kind: its route.
    :param account: its account, empty if it has none.
    :param level: its priority, 0 is the most urgent.
    :param work: its work.
    :param prompt_tokens: length of its prompt, 0 if it has none.
    :param arrival: when it counts as arrived.
    :param in_time_until_ms: latest time to send it at which its answer is
        still in time.
    :param until_ms: latest time to send it at which its answer is of use.
    :param item: what represents it for the caller of this module.
    :param is_lifted: whether it was admitted since its kind, account or size
        was served too seldom.
    :param sent_level: priority for the endpoint, once it is admitted.
    """

    kind: str
    account: types.AccountId
    level: int
    work: request_work.Work
    prompt_tokens: int
    arrival: returning.Arrival
    in_time_until_ms: float
    until_ms: float
    item: typing.Any = None
    is_lifted: bool = False
    sent_level: int | None = None

    @property
    def work_step(self) -> int:
        """Its work in steps of a factor of `WORK_STEP`."""
        return int(math.log(max(1.0, self.work.cost), WORK_STEP))

    @property
    def kind_group(self) -> served_share.Group:
        """Its kind, of which none is served much less often than all."""
        return ('kind', self.kind)

    @property
    def account_group(self) -> served_share.Group:
        """Its account, likewise."""
        return ('account', self.account)

    @property
    def size_group(self) -> served_share.Group:
        """Its size, of which none is served much less often than its kind."""
        return (*self.kind_group, str(self.work_step))

    @property
    def groups(self) -> tuple[served_share.Group, ...]:
        """All groups that it belongs to."""
        return ALL, self.kind_group, self.account_group, self.size_group


# The group around all others.
ALL: served_share.Group = ()


class Rank(typing.NamedTuple):
    """Place of a request among others, the first one lowest.

    :param is_usual: whether its kind is served as often as others; if not,
        it goes before all of those.
    :param level: its priority, lower by the demotion of its account.
    :param demotion: by how many levels its account yields to others.
    :param is_size_usual: whether its size is served as often as others of
        its kind.
    :param is_late: whether it can't be in time any more.
    :param work_step: its work in steps.
    :param account_work: work of its account lately.
    :param ranked_ms: when it counts as arrived.
    """

    is_usual: bool
    level: int
    demotion: int
    is_size_usual: bool
    is_late: bool
    work_step: int
    account_work: float
    ranked_ms: float


def make_ticket(
    kind: str,
    account: types.AccountId,
    level: int,
    work: request_work.Work,
    prompt_tokens: int,
    arrival: returning.Arrival,
    target_ms: float,
    begin_ms: float,
    longest_ms: float,
    now_ms: float,
) -> Ticket:
    """Return the ticket of a request that comes now.

    :param kind: its route.
    :param account: its account, empty if it has none.
    :param level: its priority, 0 is the most urgent.
    :param work: its work.
    :param prompt_tokens: length of its prompt, 0 if it has none.
    :param arrival: when it counts as arrived.
    :param target_ms: target latency of its route.
    :param begin_ms: expected time until an endpoint begins the answer.
    :param longest_ms: longest time for which it may wait.
    :param now_ms: current time.
    """
    begin_ms = min(begin_ms, MAX_BEGIN_SHARE * target_ms)
    return Ticket(
        kind,
        account,
        level,
        work,
        prompt_tokens,
        arrival,
        arrival.first_ms + target_ms - begin_ms,
        now_ms + longest_ms,
    )


def make_ranking(
    shares: served_share.ServedShares,
    usage: overload_usage.Usage,
    now_ms: float,
) -> typing.Callable[[Ticket], Rank]:
    """Return a function that ranks requests, the first one lowest.

    :param shares: how often kinds, accounts and sizes are served.
    :param usage: work of the accounts.
    :param now_ms: current time.
    """
    work = usage.compute_work(now_ms)
    ratios = overload_usage.compute_ratios(work)
    is_behind = functools.cache(shares.is_behind)

    def rank(ticket: Ticket) -> Rank:
        kind = ticket.kind_group
        demotion = _compute_demotion(ratios.get(ticket.account, 0.0))
        if is_behind(ticket.account_group, ALL, MIN_ACCOUNT_SHARE):
            demotion = min(demotion, 1)
        return Rank(
            not is_behind(kind, ALL, MIN_KIND_SHARE),
            ticket.level + demotion,
            demotion,
            not is_behind(ticket.size_group, kind, MIN_SIZE_SHARE),
            now_ms > ticket.in_time_until_ms,
            ticket.work_step,
            work.get(ticket.account, 0.0),
            ticket.arrival.ranked_ms,
        )

    return rank


def _compute_demotion(ratio: float) -> int:
    """Return by how many levels an account yields to others.

    :param ratio: its work as a multiple of an equal share.
    """
    if ratio <= MAX_SHARE_RATIO:
        return 0
    return 1 + int(math.log2(ratio / MAX_SHARE_RATIO))
