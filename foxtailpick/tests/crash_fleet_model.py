"""Simulation of routers and engines that crash on some requests.

Virtual time. Routers use the decisions of `crash_quarantine` and exchange
reports through a hub, whose messages may get lost. Engines queue a request,
begin to answer it and stream the answer; one that begins to answer a
crashing request ends shortly afterwards, with all its requests, and comes
back as a new process. Either each request whose prompt has a certain part
crashes engines, or one plain request that comes again and again.
"""

import dataclasses
import heapq
import itertools
import random

from foxtailpick.core.dispatch import crash_policy
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import crash_records
from foxtailpick.core.dispatch import crash_reports

TICK_MS = 10
EXCHANGE_MS = 150
CRASH_AFTER_MS = 50
DOWN_MS = 4_000
DOCUMENTS = 200
ACCOUNTS = 10
MAX_SENDS = 2
BAD_PART = 'bad'
BAD_REQUEST = 'bad-request'


@dataclasses.dataclass(order=True)
class Run:
    """A request at an engine."""

    ends_ms: float
    number: int
    router: int
    parts: tuple
    request: str
    is_bad: bool
    answered_ms: float
    sends: int
    tested: list = ()
    is_sound_recorded: bool = False


class Exchange:
    """Records of all routers about signatures of one kind, and their hub.

    :param policy: the policy for the kind.
    :param routers: number of routers.
    """

    def __init__(self, policy, routers):
        self.records = [
            crash_records.CrashRecords(policy) for _ in range(routers)
        ]
        self.hub = crash_reports.HubCrashReports(policy)
        self.pacers = [crash_reports.Pacer() for _ in range(routers)]
        self.totals_pacer = crash_reports.Pacer()

    def run(self, now_ms, is_lost):
        """Exchange reports and totals; each piece may get lost."""
        for router, records in enumerate(self.records):
            report = records.make_report(now_ms)
            if not self.pacers[router].is_due(report, now_ms):
                continue
            pieces = [None]
            if report is not None:
                pieces = crash_reports.split_message(report)
            for piece in pieces:
                if not is_lost():
                    name = f'router-{router}'
                    self.hub.record(name, piece, now_ms, now_ms)
        totals = self.hub.merge(now_ms)
        if totals is None or not self.totals_pacer.is_due(totals, now_ms):
            return
        for records in self.records:
            is_continued = False
            for (piece,) in crash_reports.split_message([totals]):
                if not is_lost():
                    records.apply_totals(piece, now_ms, is_continued)
                    is_continued = True


class Fleet:
    """Routers, their hub and engines.

    :param routers: number of routers.
    :param engines: number of engines.
    :param has_quarantine: False for the baseline.
    :param loses_start: whether a crash also loses the start of the answer.
    :param is_plain: whether requests are plain ones without a prompt, and
        the one that crashes engines is always the same.
    :param seed: seed of the random draws.
    """

    def __init__(
        self,
        routers,
        engines,
        has_quarantine=True,
        loses_start=False,
        is_plain=False,
        seed=1,
    ):
        self.rng = random.Random(seed)
        # Of its own, so that each kind of evidence sees the same draws
        # whatever is sent about the other one.
        self._request_rng = random.Random(seed + 1_000)
        self.is_plain = is_plain
        self.has_quarantine = has_quarantine
        self.loses_start = loses_start
        self.loss = 0.05
        self.routers = routers
        self.parts = Exchange(crash_policy.PARTS, routers)
        self.requests = Exchange(crash_policy.REQUESTS, routers)
        self.engines = [[] for _ in range(engines)]
        self.up_ms = [0.0] * engines
        self.now_ms = 0.0
        self.bad_sent_ms = []
        self.crashed_ms = []
        self.sound = []
        self.repeated_bad = 0
        self._numbers = itertools.count()

    def run(self, for_ms, sound_per_s, bad_per_s=0.0):
        """Simulate some time with requests at the given rates."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            for rate, is_bad in ((sound_per_s, False), (bad_per_s, True)):
                for _ in range(self._draw_count(rate)):
                    self._arrive(is_bad)
            for engine in range(len(self.engines)):
                self._advance(engine)
            if self.now_ms % EXCHANGE_MS < TICK_MS:
                self._exchange()

    def crash_all(self, engines):
        """Let several engines end at once."""
        for engine in engines:
            self._crash(engine)

    def count_sent_after(self, limit_ms):
        """Return the crashing requests that engines got from then on."""
        return sum(sent_ms > limit_ms for sent_ms in self.bad_sent_ms)

    def compute_sent_share(self, first_ms, last_ms):
        """Return the share of sound requests that were not refused."""
        sent = [ok for ms, ok in self.sound if first_ms <= ms <= last_ms]
        return sum(sent) / len(sent)

    def _draw_count(self, per_s):
        expected = per_s * TICK_MS / 1_000
        return int(expected) + (self.rng.random() < expected % 1)

    def _arrive(self, is_bad):
        document = int(self.rng.paretovariate(0.6)) % DOCUMENTS
        account = f'account-{self.rng.randrange(ACCOUNTS)}'
        router = self.rng.randrange(self.routers)
        if self.is_plain:
            parts = ()
            request = BAD_REQUEST if is_bad else f'{account}/{document}'
        else:
            part = BAD_PART if is_bad else f'document-{document}'
            parts = ('route', account, part)
            request = f'request-{next(self._numbers)}'
        is_sent = self._send(router, parts, request, is_bad, 0)
        if not is_bad and is_sent is not None:
            self.sound.append((self.now_ms, is_sent))

    def _send(self, router, parts, request, is_bad, sends):
        """Send a request; None if no engine is up."""
        up = [
            engine
            for engine, up_ms in enumerate(self.up_ms)
            if up_ms <= self.now_ms
        ]
        if not up:
            return None
        tested = []
        if self.has_quarantine:
            kinds = self._list_kinds(router, parts, request)
            refusals = [
                records.find_refusal(found, lambda item: router, self.now_ms)
                for records, found in kinds
            ]
            if any(refusals):
                return False
            for records, found in kinds:
                tests = records.begin_tests(found, self.now_ms, f'r{router}')
                tested.append((records, tests))
        if is_bad:
            self.bad_sent_ms.append(self.now_ms)
            self.repeated_bad += sends > 0
        answered_ms = self.now_ms + self.rng.uniform(30, 300)
        lasts_ms = 0 if self.is_plain else self.rng.uniform(100, 3_000)
        run = Run(
            answered_ms + (CRASH_AFTER_MS if is_bad else lasts_ms),
            next(self._numbers),
            router,
            parts,
            request,
            is_bad,
            answered_ms,
            sends + 1,
            tested,
        )
        heapq.heappush(self.engines[self.rng.choice(up)], run)
        return True

    def _list_kinds(self, router, parts, request):
        return [
            (self.parts.records[router], parts),
            (self.requests.records[router], (request,)),
        ]

    def _advance(self, engine):
        runs = self.engines[engine]
        for run in runs:
            age_ms = self.now_ms - run.answered_ms
            is_sound = age_ms >= crash_quarantine.SOUND_MS
            if is_sound and not run.is_sound_recorded:
                run.is_sound_recorded = True
                self._record_sound(run)
        while runs and runs[0].ends_ms <= self.now_ms:
            if runs[0].is_bad:
                self._crash(engine)
                return
            self._record_sound(heapq.heappop(runs))

    def _record_sound(self, run):
        for records, found in self._list_kinds(
            run.router, run.parts, run.request
        ):
            records.record_sound(found, self.now_ms)

    def _crash(self, engine):
        runs, self.engines[engine] = self.engines[engine], []
        process = f'{engine}/{self.up_ms[engine]}'
        self.up_ms[engine] = self.now_ms + DOWN_MS
        self.crashed_ms.append(self.now_ms)
        for run in runs:
            kinds = self._list_kinds(run.router, run.parts, run.request)
            is_seen = run.answered_ms <= self.now_ms and not (
                run.is_bad and (self.loses_start or self.is_plain)
            )
            is_suspect = crash_quarantine.is_suspect(
                run.answered_ms if is_seen else None, self.now_ms
            )
            if is_suspect:
                for records, found in kinds:
                    records.record_end(
                        found, process, self.now_ms, self.now_ms
                    )
                for records, tests in run.tested:
                    records.fail_tests(tests, self.now_ms)
            is_repeated = run.sends < MAX_SENDS and not (
                self.has_quarantine
                and any(
                    records.may_crash(found, self.now_ms)
                    for records, found in kinds
                )
            )
            if is_repeated:
                self._send(
                    run.router, run.parts, run.request, run.is_bad, run.sends
                )

    def _exchange(self):
        for exchange, rng in (
            (self.parts, self.rng),
            (self.requests, self._request_rng),
        ):
            exchange.run(self.now_ms, lambda rng=rng: rng.random() < self.loss)
