"""Sums of what waits and of the work done, over all routers.

Load pattern: one account sends nine times its usual while a service is
overloaded, and its callers reach few of the routers; or one zone has most of
the callers. Each router knows its own part only, so that the account would
be within its share at each of them, and a crowded router would get as much
room as an idle one. Sums are some hundred milliseconds old, and missing where
messages are lost or the hub is gone.
"""

import dataclasses
import typing

from foxtailpick.core.dispatch import account_usage
from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.core import types

# Totals older than this say nothing of who waits now.
TTL_MS = 1_500.0
# Share of the room that is divided by what waits, whatever its level: a router
# with less urgent requests only would get none otherwise.
COMMON_SHARE = 0.15
# Most accounts in a message, those with most work.
MAX_ACCOUNTS = 32
# Most levels and services in a message.
MAX_LEVELS = 16
MAX_SERVICES = 8
# Sent reports that are kept, since totals in flight may contain them.
MAX_SENT = 8
_MAX_WORK = 1e12
_MAX_WAITING = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sums:
    """What waits for a service, and the work that it was sent lately.

    :param waiting: waiting requests by priority level.
    :param work: work admitted lately by account, in prompt tokens.
    :param unread: tokens of prompts without a first event.
    :param read_per_s: tokens of prompts that get theirs per second.
    """

    waiting: typing.Mapping[int, int] = dataclasses.field(default_factory=dict)
    work: typing.Mapping[types.AccountId, float] = dataclasses.field(
        default_factory=dict
    )
    unread: float = 0.0
    read_per_s: float = 0.0


Report = typing.Mapping[types.ServiceId, Sums]


@dataclasses.dataclass(slots=True)
class Usage:
    """Work of a service's accounts at all routers.

    :param own: work that this router admitted.
    :param others: what the other routers have waiting and admitted.
    :param updated_ms: when that was known, None before.
    """

    own: account_usage.AccountUsage = dataclasses.field(
        default_factory=account_usage.AccountUsage
    )
    others: Sums = dataclasses.field(default_factory=Sums)
    updated_ms: float | None = None

    def is_current(self, now_ms: float) -> bool:
        """Tell whether the sums of the other routers are fresh enough.

        :param now_ms: current time.
        """
        return (
            self.updated_ms is not None and now_ms - self.updated_ms <= TTL_MS
        )

    def compute_age_ms(self, now_ms: float) -> int | None:
        """Return the age of the sums of the other routers, None without any.

        :param now_ms: current time.
        """
        if self.updated_ms is None:
            return None
        return round(now_ms - self.updated_ms)

    def compute_work(self, now_ms: float) -> dict[types.AccountId, float]:
        """Return the work of each active account at all known routers.

        :param now_ms: current time.
        """
        work = dict(_decay(self.own, now_ms))
        if self.is_current(now_ms):
            for account, cost in self.others.work.items():
                work[account] = work.get(account, 0.0) + cost
        return work


def compute_ratios(
    work: typing.Mapping[types.AccountId, float],
) -> dict[types.AccountId, float]:
    """Return the work of accounts as multiples of an equal share.

    :param work: work by account.
    """
    total = sum(work.values())
    if total <= 0:
        return {}
    return {key: cost * len(work) / total for key, cost in work.items()}


def record_work(
    usage: Usage, account: types.AccountId, work: float, now_ms: float
) -> None:
    """Add the work of an admitted request.

    :param usage: usage of its service.
    :param account: its account.
    :param work: its work, in prompt tokens.
    :param now_ms: current time.
    """
    account_usage.record_request(usage.own, account, work, now_ms)


def add_backlog(
    load: overload.Load,
    backlog: prompt_backlog.PromptBacklog,
    usage: Usage,
    routers: int,
    is_overloaded: bool,
    now_ms: float,
) -> overload.Load:
    """Return a load with the prompts of all routers that aren't read yet.

    Without sums of the other routers, these are taken to be as many at each.

    :param load: load of the service.
    :param backlog: prompts of this router.
    :param usage: usage of the service.
    :param routers: number of routers, including this one.
    :param is_overloaded: whether the service is overloaded; otherwise few
        prompts of this router say nothing.
    :param now_ms: current time.
    """
    unread = backlog.tokens
    read_per_s = backlog.read.compute_per_s(now_ms)
    if usage.is_current(now_ms):
        unread += usage.others.unread
        read_per_s += usage.others.read_per_s
    else:
        unread *= routers
        read_per_s *= routers
    if backlog.requests < prompt_backlog.MIN_WAITING and not is_overloaded:
        return load
    return dataclasses.replace(
        load,
        unread=unread,
        read_per_s=read_per_s,
        target_ms=backlog.compute_target_ms(now_ms),
    )


def make_sums(
    waiting: typing.Mapping[int, int],
    backlog: prompt_backlog.PromptBacklog,
    usage: Usage,
    now_ms: float,
) -> Sums:
    """Return what this router reports of a service.

    :param waiting: its waiting requests by priority level.
    :param backlog: its prompts that aren't read yet.
    :param usage: usage of the service.
    :param now_ms: current time.
    """
    work = _decay(usage.own, now_ms)
    levels = sorted(waiting)[:MAX_LEVELS]
    sums = Sums(
        {level: waiting[level] for level in levels},
        {key: round(cost) for key, cost in work.items()},
        round(backlog.tokens),
        round(backlog.read.compute_per_s(now_ms)),
    )
    return keep_heaviest(sums, MAX_ACCOUNTS)


def compute_part(
    room: float,
    waiting: typing.Mapping[int, int],
    usage: Usage,
    routers: int,
    now_ms: float,
) -> float:
    """Return this router's part of the room, from 0 to 1.

    The most urgent levels get room first, each router by what waits there.
    What nobody waits for is divided equally. A part of the room is divided by
    all that waits, so that no router is left without any.

    :param room: requests that all routers may send.
    :param waiting: this router's waiting requests by priority level.
    :param usage: usage of the service.
    :param routers: number of routers, including this one.
    :param now_ms: current time.
    """
    if not usage.is_current(now_ms) or room <= 0:
        return 1 / routers
    others = usage.others.waiting
    left = room
    own_room = 0.0
    for level in sorted({*waiting, *others}):
        own = waiting.get(level, 0)
        total = own + others.get(level, 0)
        given = min(left, total)
        if total:
            own_room += given * own / total
        left -= given
    part = (own_room + left / routers) / room
    if left > 0:
        return part
    own = sum(waiting.values())
    common = own / (own + sum(others.values()))
    return part + COMMON_SHARE * (common - part)


def keep_heaviest(sums: Sums, count: int) -> Sums:
    """Return sums with the accounts with most work only.

    :param sums: the sums.
    :param count: most accounts that are kept.
    """
    heaviest = sorted(sums.work, key=sums.work.__getitem__, reverse=True)
    kept = {key: sums.work[key] for key in heaviest[:count]}
    return dataclasses.replace(sums, work=kept)


class SentReports:
    """Reports sent to the hub, subtracted again from its totals."""

    def __init__(self) -> None:
        self._sent: dict[int, Report] = {}

    def record(self, number: int, report: Report) -> None:
        """Keep a report.

        :param number: sequence number of its message.
        :param report: the report.
        """
        self._sent[number] = report
        while len(self._sent) > MAX_SENT:
            del self._sent[min(self._sent)]

    def subtract(self, number: int, totals: Report) -> Report | None:
        """Return the sums of the other routers.

        :param number: sequence number of the report that the totals include.
        :param totals: the totals.
        :returns: None if that report is no longer kept.
        """
        own = self._sent.get(number)
        if own is None:
            return None
        return {
            service: _subtract(sums, own.get(service, Sums()))
            for service, sums in totals.items()
        }


class HubSums:
    """The latest report of each router, kept by the hub."""

    def __init__(self) -> None:
        self._reports: dict[types.RouterId, tuple[int, Report, float]] = {}

    def record(
        self,
        router: types.RouterId,
        number: int,
        report: Report,
        now_ms: float,
    ) -> None:
        """Store the report of a router, replacing its previous one.

        Reports with the same number are parts of one.

        :param router: the router.
        :param number: sequence number of its message.
        :param report: the report.
        :param now_ms: current time.
        """
        before = self._reports.get(router)
        if before is not None and before[0] == number:
            report = {**before[1], **report}
        self._reports[router] = (number, report, now_ms)

    def list_routers(self, now_ms: float) -> list[tuple[types.RouterId, int]]:
        """Return the routers with a current report, and its number.

        :param now_ms: current time.
        """
        self._reports = {
            router: item
            for router, item in self._reports.items()
            if now_ms - item[2] <= TTL_MS
        }
        return [(key, item[0]) for key, item in self._reports.items()]

    def merge(self, now_ms: float) -> dict[types.ServiceId, Sums]:
        """Return the totals of all current reports.

        :param now_ms: current time.
        """
        self.list_routers(now_ms)
        waiting: dict[types.ServiceId, dict[int, int]] = {}
        work: dict[types.ServiceId, dict[types.AccountId, float]] = {}
        unread: dict[types.ServiceId, float] = {}
        read: dict[types.ServiceId, float] = {}
        for _, report, _ in self._reports.values():
            for service, sums in report.items():
                _add(waiting.setdefault(service, {}), sums.waiting)
                _add(work.setdefault(service, {}), sums.work)
                _add(unread, {service: sums.unread})
                _add(read, {service: sums.read_per_s})
        totals = {}
        for service, accounts in work.items():
            sums = Sums(
                waiting[service], accounts, unread[service], read[service]
            )
            totals[service] = keep_heaviest(sums, MAX_ACCOUNTS)
        return totals


def encode(report: Report) -> dict[str, typing.Any]:
    """Return a report or totals as plain values.

    :param report: the report.
    """
    return {
        str(service): [
            dict(sums.waiting),
            dict(sums.work),
            sums.unread,
            sums.read_per_s,
        ]
        for service, sums in list(report.items())[:MAX_SERVICES]
    }


def decode(content: typing.Any) -> dict[types.ServiceId, Sums]:
    """Return a report or totals from plain values.

    :param content: the values.
    :raises ValueError: if they are malformed.
    """
    try:
        report = {
            types.ServiceId(service): Sums(
                _check(waiting, int, _MAX_WAITING, MAX_LEVELS),
                _check(work, str, _MAX_WORK, MAX_ACCOUNTS),
                _check({0: unread}, int, _MAX_WORK, 1)[0],
                _check({0: read}, int, _MAX_WORK, 1)[0],
            )
            for service, (waiting, work, unread, read) in content.items()
        }
    except (AttributeError, TypeError, ValueError) as exc:
        raise ValueError(f'expected sums, got {content!r:.80}') from exc
    is_valid = len(report) <= MAX_SERVICES and all(
        isinstance(service, str) for service in report
    )
    if not is_valid:
        raise ValueError(f'expected few services, got {content!r:.80}')
    return report


def _check(
    values: typing.Any, kind: type, most: float, count: int
) -> dict[typing.Any, typing.Any]:
    is_valid = (
        isinstance(values, dict)
        and len(values) <= count
        and all(isinstance(key, kind) for key in values)
        and all(
            isinstance(item, int | float) and 0 <= item <= most
            for item in values.values()
        )
    )
    if not is_valid:
        raise ValueError(f'expected bounded sums, got {values!r:.80}')
    return values


def _decay(
    usage: account_usage.AccountUsage, now_ms: float
) -> dict[types.AccountId, float]:
    factor = 0.5 ** ((now_ms - usage.decayed_ms) / account_usage.HALF_LIFE_MS)
    return {key: cost * factor for key, cost in usage.cost.items()}


def _add(
    totals: dict[typing.Any, typing.Any],
    values: typing.Mapping[typing.Any, typing.Any],
) -> None:
    for key, value in values.items():
        totals[key] = totals.get(key, 0) + value


def _subtract(sums: Sums, own: Sums) -> Sums:
    return Sums(
        {
            level: max(0, count - own.waiting.get(level, 0))
            for level, count in sums.waiting.items()
        },
        {
            key: max(0.0, cost - own.work.get(key, 0.0))
            for key, cost in sums.work.items()
        },
        max(0.0, sums.unread - own.unread),
        max(0.0, sums.read_per_s - own.read_per_s),
    )
