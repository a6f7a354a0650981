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

from foxtailpick.core.dispatch import crash_quarantine
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
    tested: tuple = ()
    is_sound_recorded: bool = False


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
        self.is_plain = is_plain
        self.has_quarantine = has_quarantine
        self.loses_start = loses_start
        self.loss = 0.05
        self.records = [
            crash_quarantine.CrashRecords() for _ in range(routers)
        ]
        self.hub = crash_reports.HubCrashReports()
        self.pacers = [crash_reports.Pacer() for _ in range(routers)]
        self.totals_pacer = crash_reports.Pacer()
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
        router = self.rng.randrange(len(self.records))
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
        records = self.records[router]
        tested = ()
        if self.has_quarantine:
            refusal = records.find_refusal(
                parts, lambda part: router, self.now_ms
            )
            if refusal is not None:
                return False
            tested = tuple(records.begin_tests(parts, self.now_ms))
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
        self.records[run.router].record_sound(run.parts, self.now_ms)

    def _crash(self, engine):
        runs, self.engines[engine] = self.engines[engine], []
        process = f'{engine}/{self.up_ms[engine]}'
        self.up_ms[engine] = self.now_ms + DOWN_MS
        self.crashed_ms.append(self.now_ms)
        for run in runs:
            records = self.records[run.router]
            is_seen = run.answered_ms <= self.now_ms and not (
                run.is_bad and (self.loses_start or self.is_plain)
            )
            is_suspect = crash_quarantine.is_suspect(
                run.answered_ms if is_seen else None, self.now_ms
            )
            if is_suspect:
                records.record_end(
                    run.parts, process, self.now_ms, self.now_ms
                )
                records.fail_tests(run.tested, self.now_ms)
            is_repeated = run.sends < MAX_SENDS and not (
                self.has_quarantine
                and records.may_crash(run.parts, self.now_ms)
            )
            if is_repeated:
                self._send(
                    run.router, run.parts, run.request, run.is_bad, run.sends
                )

    def _exchange(self):
        for router, records in enumerate(self.records):
            report = records.make_report(self.now_ms)
            if not self.pacers[router].is_due(report, self.now_ms):
                continue
            if self.rng.random() >= self.loss:
                self.hub.record(f'router-{router}', report, self.now_ms)
        totals = self.hub.merge(self.now_ms)
        if totals is None or not self.totals_pacer.is_due(totals, self.now_ms):
            return
        for records in self.records:
            if self.rng.random() >= self.loss:
                records.apply_totals(totals, self.now_ms)
