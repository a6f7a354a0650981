"""A router of the simulation that orders requests under overload."""

import collections

from foxtailpick.core.dispatch import admission_queue
from foxtailpick.core.dispatch import crash_quarantine
from foxtailpick.core.dispatch import overload
from foxtailpick.core.dispatch import overload_order
from foxtailpick.core.dispatch import overload_rank
from foxtailpick.core.dispatch import overload_usage
from foxtailpick.core.dispatch import prompt_backlog
from foxtailpick.core.dispatch import request_work
from foxtailpick.core.dispatch import response_timeout
from foxtailpick.tests import engine_model

SERVICE = 'engine'


class OrderedRouter(engine_model.Router):
    """Decides as `gateway/admission` does, without input or output."""

    has_totals = True
    target_ms = 300.0

    def __init__(self, *args):
        super().__init__(*args)
        self.order = overload_order.Order()
        self.unread = []
        self.begin_ms = collections.defaultdict(
            response_timeout.FirstByteEstimate
        )

    @property
    def is_waiting(self):
        return bool(self.order.tickets)

    def admit(self, run, now_ms):
        if not self.order.detector.is_overloaded:
            return True
        left_ms = run.arrived_ms + run.deadline_ms - now_ms
        work = request_work.estimate_work(run.prompt_tokens, run.tokens)
        arrival = self.order.refused.recognize(self._sign(run), now_ms)
        longest_ms = overload_order.compute_longest_wait_ms(
            engine_model.ABANDON_AFTER_MS,
            left_ms,
            run.tokens * engine_model.STEP_MS,
        )
        ticket = overload_rank.make_ticket(
            run.kind,
            run.account,
            run.priority,
            work,
            run.prompt_tokens,
            arrival,
            run.target_ms,
            self.begin_ms[run.kind].mean_ms or 0.0,
            longest_ms,
            now_ms,
        )
        ticket.item = run
        if overload_order.arrive(self.order, ticket, now_ms):
            return True
        if (
            overload_order.estimate_wait_ms(self.order, ticket, now_ms)
            > longest_ms
        ):
            self._refuse(ticket, now_ms)
        else:
            overload_order.add(self.order, ticket)
        return False

    def release(self, routers, now_ms):
        usable = overload.list_usable(self.table.list_all(), now_ms)
        unread = self._update_backlog(usable, now_ms)
        load = overload_usage.add_backlog(
            overload.measure(usable),
            self.order.backlog,
            self.order.usage,
            routers,
            self.order.detector.is_overloaded,
            now_ms,
        )
        mean_run_ms = self.queue.mean_run_ms
        is_changed = overload.update(
            self.order.detector, load, mean_run_ms, self.order.is_short, now_ms
        )
        if is_changed and not self.order.detector.is_overloaded:
            admitted = overload_order.pop_all(self.order, now_ms)
            return [ticket.item for ticket in admitted]
        if not self.order.detector.is_overloaded:
            return []
        overload_order.update_room(
            self.order,
            load,
            mean_run_ms,
            self.target_ms,
            unread,
            routers,
            now_ms,
        )
        admitted = overload_order.pop_admitted(self.order, now_ms)
        for ticket in overload_order.pop_hopeless(self.order, now_ms):
            self._refuse(ticket, now_ms)
        for ticket in admitted:
            if ticket.sent_level is not None:
                ticket.item.priority = ticket.sent_level
        return [ticket.item for ticket in admitted]

    def record_placed(self, run):
        self.unread.append(run)

    def _update_backlog(self, usable, now_ms):
        for run in self.unread:
            if run.first_ms is not None:
                self.begin_ms[run.kind].observe(run.first_ms - run.placed_ms)
                self.order.backlog.record_first_event(
                    run.prompt_tokens, run.target_ms, now_ms
                )
        self.unread = [
            run
            for run in self.unread
            if run.first_ms is None and run.is_at_engine
        ]
        waiting = {item.id: [] for item in usable}
        for run in self.unread:
            if run.engine in waiting:
                waiting[run.engine].append(run.prompt_tokens)
        return prompt_backlog.update(
            self.order.backlog,
            waiting.values(),
            admission_queue.CHECK_INTERVAL_MS,
        )

    def exchange_sums(self, routers, now_ms):
        if not self.has_totals:
            return
        hub = overload_usage.HubSums()
        for number, router in enumerate(routers):
            if router is not self and router.order.detector.is_overloaded:
                sums = overload_usage.make_sums(
                    router.order.count_waiting(),
                    router.order.backlog,
                    router.order.usage,
                    now_ms,
                )
                hub.record(number, 0, {SERVICE: sums}, now_ms)
        totals = hub.merge(now_ms)
        self.order.usage.others = totals.get(SERVICE, overload_usage.Sums())
        self.order.usage.updated_ms = now_ms

    def _refuse(self, ticket, now_ms):
        run = ticket.item
        left_ms = run.arrived_ms + run.deadline_ms - now_ms
        retry_ms = overload_order.refuse(
            self.order, ticket, left_ms, now_ms, self.rng
        )
        self.order.refused.record(
            self._sign(run), ticket.arrival, now_ms + retry_ms, now_ms
        )
        self.reject(run, 0.0, now_ms)
        run.retry_ms = retry_ms

    def _sign(self, run):
        return crash_quarantine.Signature(f'{run.account}/{run.caller}')
