"""Mutation tests: the checks must detect each broken decision."""

import dataclasses

import pytest

from foxtailpick.adapters import base
from foxtailpick.bench import claims_scenario
from foxtailpick.bench import claims_world
from foxtailpick.bench import patches_scenario
from foxtailpick.core import attempts
from foxtailpick.core import claim_errors
from foxtailpick.core import claim_records
from foxtailpick.core import claim_store
from foxtailpick.core import claimed_attempts
from foxtailpick.core import claims
from foxtailpick.core import config_answers
from foxtailpick.core import config_writer
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import node_config
from foxtailpick.core import patches
from foxtailpick.core import replay
from foxtailpick.core import verdict
from foxtailpick import history
from foxtailpick.standins import keyvalue

MAX_SEEDS = 400
MAX_PATCH_SEEDS = 20
SOUND_SEEDS = 100
SOUND_PATCH_SEEDS = 8


def skip_claim_write(patch):
    async def create(self, path, claim, unused_nonces):
        return claim_store.StoredClaim(claim, base.ABSENT)

    patch.setattr(claim_store.ClaimStore, 'create', create)


def run_without_store(patch):
    original = claim_store.ClaimStore.create

    async def create(self, path, claim, unused_nonces):
        try:
            return await original(self, path, claim, unused_nonces)
        except errors.StoreError:
            return claim_store.StoredClaim(claim, base.ABSENT)

    patch.setattr(claim_store.ClaimStore, 'create', create)


def retry_on_unknown(patch):
    original = claimed_attempts.serve_attempt

    async def serve(table, engine, attempt, key, body, call, clock):
        async def call_again():
            try:
                return await call()
            except errors.FoxtailError:
                return await call()

        return await original(
            table, engine, attempt, key, body, call_again, clock
        )

    patch.setattr(claimed_attempts, 'serve_attempt', serve)


def report_unknown_as_not_run(patch):
    def make():
        return errors.RequestError(errors.ErrorCode.OUTCOME_UNKNOWN, '')

    patch.setattr(claim_errors, 'make_unknown_error', make)


def reuse_nonces(patch):
    original = claims.ClaimEngine._begin_claim

    def begin(self, record, digest):
        original(self, record, digest)
        record.nonce = self.owner.incarnation

    patch.setattr(claims.ClaimEngine, '_begin_claim', begin)


def delete_without_compare(patch):
    async def release(self, path, unused_nonces):
        await self._kv.transact([], [base.Delete(path)])

    patch.setattr(claim_store.ClaimStore, 'release', release)


def delete_results(patch):
    async def save(self, path, claim, revision):
        await self._kv.transact([], [base.Delete(path)])
        return claim_store.StoredClaim(claim, revision)

    patch.setattr(claim_store.ClaimStore, 'save', save)


def accept_another_body(patch):
    patch.setattr(claims, '_check_same_body', lambda wanted, found: None)


def collide_keys(patch):
    path = property(lambda self: claim_records.PREFIX + self.key[0])
    patch.setattr(claim_records.ClaimKey, 'path', path)
    patch.setattr(
        claim_records, 'compute_answer_check', lambda path, answer: 0
    )


def forget_closed_attempts(patch):
    original = attempts.AttemptTable._add_unopened

    def add(self, attempt, event, now_ms):
        record = original(self, attempt, event, now_ms)
        self._records.remove(attempt)
        return record

    patch.setattr(attempts.AttemptTable, '_add_unopened', add)


def ignore_age_of_query(patch):
    original = attempts.AttemptTable._close_unknown

    def close(self, attempt, age_ms, now_ms):
        return original(self, attempt, 0.0, now_ms)

    patch.setattr(attempts.AttemptTable, '_close_unknown', close)


def ignore_age_of_frame(patch):
    original = attempts.AttemptTable.open

    def open_attempt(self, attempt, incarnation, sent_after_ms, now_ms):
        return original(self, attempt, incarnation, now_ms, now_ms)

    patch.setattr(attempts.AttemptTable, 'open', open_attempt)


def ignore_incarnation(patch):
    original = attempts.AttemptTable.query

    def query(self, attempt, incarnation, age_ms, now_ms):
        return original(self, attempt, self.incarnation, age_ms, now_ms)

    patch.setattr(attempts.AttemptTable, 'query', query)


def reopen_closed_attempts(patch):
    def reopen(self, record):
        record.state = attempts.AttemptState.OPEN
        return attempts.OpenResult.NEW

    patch.setattr(attempts.AttemptTable, '_handle_duplicate', reopen)


def skip_head_compare(patch):
    def skip(self, compare):
        return True

    patch.setattr(keyvalue.KeyValueState, '_is_met', skip)


def merge_outdated_patch(patch):
    async def merge(self, submitted, head):
        found = await self.reader.read_head()
        return await self._write(config_writer._Submission(submitted), *found)

    patch.setattr(patches, 'check_base', lambda cfg, submitted: None)
    patch.setattr(config_writer.ConfigWriter, '_answer_outdated', merge)


def report_unknown_patch_as_rejected(patch):
    def make(may_have_written, number, failure):
        return config_answers.PatchAnswer(
            config_answers.Outcome.REJECTED, number
        )

    patch.setattr(config_writer, 'MAX_SUBMIT_TRIES', 1)
    patch.setattr(config_answers, 'make_unknown', make)


def allow_number_decrease(patch):
    original = node_config.NodeConfig.apply_offer

    def apply_offer(self, offer, now_ms):
        has_advanced = original(self, offer, now_ms)
        self.cfg = dataclasses.replace(self.cfg, number=offer.number)
        return has_advanced

    patch.setattr(node_config.NodeConfig, 'apply_offer', apply_offer)


@pytest.mark.parametrize(
    'break_decision',
    [
        report_unknown_patch_as_rejected,
        allow_number_decrease,
        merge_outdated_patch,
        skip_head_compare,
    ],
)
def test_broken_patches_are_detected(monkeypatch, break_decision):
    break_decision(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        for seed in range(MAX_PATCH_SEEDS):
            patches_scenario.run(seed)


def test_sound_patches_pass():
    for seed in range(SOUND_PATCH_SEEDS):
        patches_scenario.run(seed)


def test_sound_claims_pass():
    for seed in range(SOUND_SEEDS):
        claims_scenario.run(seed)


@pytest.mark.parametrize(
    'break_decision',
    [
        accept_another_body,
        report_unknown_as_not_run,
        delete_without_compare,
        skip_claim_write,
        forget_closed_attempts,
        delete_results,
        ignore_age_of_frame,
        ignore_age_of_query,
        ignore_incarnation,
        collide_keys,
        reopen_closed_attempts,
        retry_on_unknown,
        reuse_nonces,
        run_without_store,
    ],
)
def test_broken_claims_are_detected(monkeypatch, break_decision):
    break_decision(monkeypatch)
    with pytest.raises((AssertionError, errors.InvariantError)):
        for seed in range(MAX_SEEDS):
            claims_scenario.run(seed)


@pytest.mark.parametrize('is_broken', [True, False])
def test_claim_run_after_its_expiry_is_detected(monkeypatch, is_broken):
    if is_broken:
        monkeypatch.setattr(
            claims.ClaimEngine, '_check_claim_age', lambda *args: None
        )
    world = claims_world.ClaimsWorld()
    done = claims_world.OpOutcome.DONE
    world.send('k', b'x', 0)
    world.deliver(0, False)
    world.step(0, done)
    world.step(0, claims_world.OpOutcome.REPLY_LOST)
    world.clock.advance(claims_world.LEASE_TIMES.ttl_ms - 10.0)
    world.step(0, done)
    world.step(0, done)
    world.clock.advance(20.0)
    world.send('k', b'x', 1)
    world.deliver(0, False)
    for _ in range(4):
        world.step(-1, done)
    world.step(0, done)
    breaches = world.find_breaches()
    rules = [item.rule for item in breaches]
    assert rules == [history.CallRule.KEY_RAN_TWICE] * is_broken


@pytest.mark.parametrize('is_gap', [True, False])
def test_broken_assembly_is_detected(monkeypatch, monitor, is_gap):
    assembler_class = replay.StreamAssembler
    monkeypatch.setattr(
        assembler_class, '_is_same_attempt', lambda self, chunk: True
    )
    monkeypatch.setattr(
        assembler_class, '_continues_chain', lambda self, chunk: True
    )
    monkeypatch.setattr(
        assembler_class, '_check_no_gap', lambda self, chunk: None
    )
    buffer = replay.ReplayBuffer('a' if is_gap else 'b')
    chunks = [buffer.append(b'x'), buffer.append(b'y')]
    reader = assembler_class(replay.ResumePoint('a'), monitor)
    with pytest.raises(errors.InvariantError):
        reader.accept(chunks[is_gap])
    assert monitor.violated[invariants.Invariant.WHOLE_ANSWER] == 1


def test_attempt_started_twice_is_detected(monkeypatch, monitor):
    table = attempts.AttemptTable('i1', monitor)
    table.open('a', 'i1', 0.0, 0.0)
    table.start('a')
    running = attempts.AttemptState.RUNNING
    monkeypatch.setitem(table._transitions, (running, 'start'), running)
    with pytest.raises(errors.InvariantError):
        table.start('a')
    assert monitor.violated[invariants.Invariant.AT_MOST_ONCE] == 1


def test_changed_answer_is_detected(monkeypatch, monitor):
    table = attempts.AttemptTable('i1', monitor)
    table.open('a', 'i1', 0.0, 0.0)
    table.start('a')
    table.finish('a', verdict.Verdict.RAN, b'x', 0.0)
    table._records.get('a').answer = b'y'
    with pytest.raises(errors.InvariantError):
        table.query('a', 'i1', 0.0, 0.0)
    assert monitor.violated[invariants.Invariant.WHOLE_ANSWER] == 1
