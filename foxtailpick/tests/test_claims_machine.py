"""Stateful test of claims and attempts, with any two faults at once."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from foxtailpick.bench import claims_world
from foxtailpick import testing

PICKS = strategies.integers(0, 5)
OUTCOMES = strategies.sampled_from(claims_world.OpOutcome)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    @stateful.initialize(is_save_awaited=strategies.booleans())
    def start(self, is_save_awaited):
        self.world = claims_world.ClaimsWorld(2, is_save_awaited)

    @stateful.rule(
        key=strategies.sampled_from(['k0', 'k1']),
        body=strategies.sampled_from([b'x', b'x', b'y']),
        slot=PICKS,
    )
    def send(self, key, body, slot):
        self.world.send(key, body, slot)

    @stateful.rule(pick=PICKS, is_duplicated=strategies.booleans())
    def deliver(self, pick, is_duplicated):
        self.world.deliver(pick, is_duplicated)

    @stateful.rule(pick=PICKS)
    def query(self, pick):
        self.world.query(pick)

    @stateful.rule(pick=PICKS, outcome=OUTCOMES)
    def step(self, pick, outcome):
        self.world.step(pick, outcome)

    @stateful.rule(pick=PICKS, steps=strategies.integers(1, 4))
    def step_without_faults(self, pick, steps):
        for _ in range(steps):
            self.world.step(pick, claims_world.OpOutcome.DONE)

    @stateful.rule(pick=PICKS, outcome=OUTCOMES)
    def cancel(self, pick, outcome):
        self.world.cancel(pick, outcome)

    @stateful.rule(slot=PICKS, outcome=OUTCOMES)
    def crash(self, slot, outcome):
        self.world.crash(slot, outcome)

    @stateful.rule(slot=PICKS)
    def flush_pending(self, slot):
        self.world.flush_pending(slot)

    @stateful.rule(pick=PICKS)
    def apply_delayed(self, pick):
        self.world.apply_delayed(pick)

    @stateful.rule(pause_ms=strategies.sampled_from([10.0, 3e3, 6e3, 2e4]))
    def pause(self, pause_ms):
        self.world.clock.advance(pause_ms)

    @stateful.rule(is_down=strategies.booleans())
    def change_store(self, is_down):
        self.world.state.faults.is_down = is_down

    @stateful.invariant()
    def promises_hold(self):
        testing.assert_calls(self.world.events)

    def teardown(self):
        self.world.drain()
        testing.assert_calls(self.world.events)
        assert self.world.count_pending() == 0


ClaimsMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestClaims = ClaimsMachine.TestCase
