"""Tests of the numbered configuration in the store."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest
import trio
from trio import testing

from foxtailpick.core import clock
from foxtailpick.core import config_answers
from foxtailpick.core import config_delta
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import verdict
from foxtailpick.standins import keyvalue

ACCEPTED = config_answers.Outcome.ACCEPTED
REJECTED = config_answers.Outcome.REJECTED
UNKNOWN = config_answers.Outcome.UNKNOWN
DIGEST = '00' * 32
NO_REPLY = errors.StoreError(
    errors.ErrorCode.STORE_OUTCOME_UNKNOWN,
    'expected a reply, got none',
    verdict.Verdict.MAY_HAVE_RUN,
)
KEYS = config_store.Keys()
FIRST = configuration.Configuration.from_ini(
    f"""
[domain kandy-a]
region = central-hills
[partner a]
share = 1
[account guide]
partner = a
credential_digest = {DIGEST}
"""
)


def write_patch(patch_id, number, body='[domain kandy-a]\nregion = r\n'):
    head = f'[patch]\nbase = {number}\nid = {patch_id}\n'
    return f'{head}author = op\nreason = test\n{body}'


def make_writer(state, seed=1):
    wall = clock.Clock(lambda: 5.0)
    kv = keyvalue.MemoryKeyValue(state)
    return config_writer.ConfigWriter(kv, wall, random.Random(seed))


@pytest.fixture
def state():
    return keyvalue.KeyValueState(clock.Clock.from_trio().now)


@pytest.fixture
async def writer(state):
    writer = make_writer(state)
    assert await writer.create(FIRST)
    return writer


async def load_whole(state):
    reader = make_writer(state).reader
    head, _ = await reader.read_head()
    return await reader.load_chunks(await reader.load_index(head))


async def replay_deltas(state):
    """Return the result of applying all deltas in order."""
    reader = make_writer(state).reader
    head, _ = await reader.read_head()
    cfg = FIRST
    for number in range(2, head.number + 1):
        cfg = config_delta.apply_delta(cfg, await reader.read_delta(number))
    return cfg


async def test_accepted_patch_is_one_write(state, writer):
    before = state.calls[keyvalue.Call.WRITE]
    answer = await writer.submit(write_patch('p1', 1))
    assert (answer.outcome, answer.number) == (ACCEPTED, 2)
    assert state.calls[keyvalue.Call.WRITE] == before + 1
    assert (await load_whole(state)).domains['kandy-a'].region == 'r'
    (delta,) = await writer.reader.read_history(2, 5)
    assert (
        delta.describe()
        == '2 at 1970-01-01T00:00:00+00:00 by op (test): [domain kandy-a]'
    )
    assert delta.accepted_ms == 5.0
    assert config_delta.Delta.decode(delta.encode()) == delta


async def test_slow_store_leads_to_outcome_unknown(
    autojump_clock, state, writer
):
    state.faults.delay_ms = 12_000.0
    text = write_patch('p1', 1)
    assert (await writer.submit(text)).outcome is UNKNOWN
    assert trio.current_time() * 1_000 <= config_writer.SUBMIT_TIMEOUT_MS + 1
    state.faults.delay_ms = 0.0
    assert (await writer.submit(text)).outcome is ACCEPTED


async def test_first_configuration_is_written_once(state):
    before = await make_writer(state).submit(write_patch('p1', 1))
    assert before.outcome is REJECTED
    assert await make_writer(state).create(FIRST)
    assert await make_writer(state).create(FIRST)
    other = dataclasses.replace(FIRST, domains={})
    assert not await make_writer(state).create(other)
    assert await load_whole(state) == FIRST


async def test_outdated_patch_returns_the_changes_since(writer):
    await writer.submit(write_patch('p1', 1))
    answer = await writer.submit(write_patch('p2', 1))
    assert (answer.outcome, answer.number) == (REJECTED, 2)
    assert answer.code is errors.ErrorCode.PATCH_OUTDATED
    assert [delta.patch_id for delta in answer.since] == ['p1']


async def test_id_with_another_text_is_rejected(writer):
    await writer.submit(write_patch('p1', 1))
    other = write_patch('p1', 1, '[account guide]\nshare = 2\n')
    answer = await writer.submit(other)
    assert answer.outcome is REJECTED
    assert 'choose another id' in answer.message


@pytest.mark.parametrize('fault', ['lost_replies', 'lost_requests'])
@pytest.mark.parametrize('count', [1, 3])
async def test_lost_reply_is_resolved_by_reading_back(
    autojump_clock, state, writer, fault, count
):
    setattr(state.faults, fault, count)
    answer = await writer.submit(write_patch('p1', 1))
    assert (answer.outcome, answer.number) == (ACCEPTED, 2)


@pytest.mark.parametrize('is_committed', [True, False])
async def test_resubmission_after_an_outage(
    autojump_clock, state, writer, is_committed
):
    real = state.transact

    def fail(compares, writes):
        state.take_down()
        if is_committed:
            real(compares, writes)
        raise NO_REPLY

    state.transact = fail
    text = write_patch('p1', 1)
    during = [await writer.submit(text), await writer.submit(text)]
    state.transact = real
    state.bring_up()
    assert (await load_whole(state)).number == 1 + is_committed
    after = await make_writer(state).submit(text)
    assert [answer.outcome for answer in during] == [UNKNOWN, UNKNOWN]
    assert during[0].code is errors.ErrorCode.PATCH_OUTCOME_UNKNOWN
    assert during[1].code is errors.ErrorCode.CONFIG_UNAVAILABLE
    assert (after.outcome, after.number) == (ACCEPTED, 2)


async def test_very_old_patch_is_unknown(monkeypatch, state, writer):
    monkeypatch.setattr(config_store, 'HISTORY_PATCHES', 3)
    for number in range(1, 8):
        answer = await writer.submit(write_patch(f'p{number}', number))
        assert answer.outcome is ACCEPTED
    assert (await writer.submit(write_patch('p1', 1))).outcome is UNKNOWN
    assert (await writer.submit(write_patch('p7', 7))).outcome is ACCEPTED
    found = await writer.reader.read_history(8, 20)
    assert [delta.number for delta in found] == [6, 7, 8]
    kept = [key for key in state._entries if key.startswith(KEYS.prefix)]
    assert len([key for key in kept if '/patch/' in key]) == 3


async def test_chunks_are_deleted_unless_referenced_again(
    monkeypatch, state, writer
):
    monkeypatch.setattr(config_store, 'RETAINED_NUMBERS', 4)
    shares = {1: 1.0, 2: 2.0, 3: 1.0}
    for number in range(1, 40):
        share = shares.get(number % 10, 1.0)
        body = f'[account guide]\nshare = {share}\n'
        if number % 10 not in shares:
            body = f'[domain kandy-a]\nregion = r{number}\n'
        await writer.submit(write_patch(f'p{number}', number, body))
        cfg = await load_whole(state)
        assert cfg.accounts['guide'].share == share
    chunks = [key for key in state._entries if '/chunk/' in key]
    assert len(chunks) <= 2 * (4 + 2) + 2


async def test_deleted_index_is_unavailable(monkeypatch, state, writer):
    monkeypatch.setattr(config_store, 'RETAINED_NUMBERS', 1)
    head, _ = await writer.reader.read_head()
    for number in range(1, 5):
        body = f'[account guide]\nshare = {number + 1}\n'
        await writer.submit(write_patch(f'p{number}', number, body))
    with pytest.raises(errors.ConfigError) as caught:
        await writer.reader.load_index(head)
    assert caught.value.code is errors.ErrorCode.CONFIG_UNAVAILABLE


async def test_patch_loads_only_the_chunks_it_needs(state):
    accounts = {
        f'a{i}': dataclasses.replace(FIRST.accounts['guide'], account=f'a{i}')
        for i in range(2_000)
    }
    cfg = dataclasses.replace(FIRST, accounts=accounts)
    assert await make_writer(state).create(cfg)
    writer = make_writer(state)
    before = state.calls[keyvalue.Call.READ]
    body = '[account a7]\nshare = 2\n'
    answer = await writer.submit(write_patch('p1', 1, body))
    assert answer.outcome is ACCEPTED
    assert state.calls[keyvalue.Call.READ] - before <= 5
    assert len(await _list_shares(state)) == 2_000


async def _list_shares(state):
    cfg = await load_whole(state)
    return {name: item.share for name, item in cfg.accounts.items()}


class FaultyState(keyvalue.KeyValueState):
    """State of a store with random faults."""

    def __init__(self, read_ms, rng):
        super().__init__(read_ms)
        self.rng = rng
        self.has_faults = False

    def draw_faults(self):
        if not self.has_faults:
            self.faults = keyvalue.Faults()
            return
        draw = self.rng.random
        self.faults.lost_replies = int(draw() < 0.3)
        self.faults.lost_requests = int(draw() < 0.2)
        self.faults.is_down = draw() < 0.2
        self.faults.delay_ms = self.rng.choice([0.0, 5.0, 40.0])


class FaultyKeyValue(keyvalue.MemoryKeyValue):
    """Client of a `FaultyState` that draws new faults before each call."""

    async def _apply_faults(self):
        self._state.draw_faults()
        await super()._apply_faults()


async def _run_operator(writer, name, rng, answers):
    for turn in range(4):
        found = None
        while found is None:
            try:
                found = await writer.reader.read_head()
            except errors.StoreError:
                await trio.sleep(0.01)
        share = rng.randint(1, 9)
        body = f'[account {name}]\npartner = a\nshare = {share}\n'
        text = write_patch(
            f'{name}-{turn}',
            found[0].number,
            f'{body}credential_digest = {DIGEST}\n',
        )
        for _ in range(rng.randint(1, 3)):
            answer = await writer.submit(text)
            answers.append((f'{name}-{turn}', answer, text))


async def _race(seed):
    rng = random.Random(seed)
    state = FaultyState(clock.Clock.from_trio().now, rng)
    kv = FaultyKeyValue(state)
    wall = clock.Clock.from_trio()
    await config_writer.ConfigWriter(kv, wall, rng).create(FIRST)
    answers = []
    state.has_faults = True
    async with trio.open_nursery() as nursery:
        for name in ('op-a', 'op-b', 'op-c'):
            writer = config_writer.ConfigWriter(kv, wall, rng)
            nursery.start_soon(_run_operator, writer, name, rng, answers)
    state.has_faults = False
    state.faults = keyvalue.Faults()
    await _check_history(state, answers)


async def _check_history(state, answers):
    whole = await load_whole(state)
    assert await replay_deltas(state) == whole
    history = await make_writer(state).reader.read_history(whole.number, 99)
    committed = {delta.patch_id: delta.number for delta in history}
    assert sorted(committed.values()) == list(range(2, whole.number + 1))
    for patch_id, answer, text in answers:
        if answer.outcome is ACCEPTED:
            assert committed[patch_id] == answer.number
        if answer.outcome is REJECTED:
            assert patch_id not in committed
        final = await make_writer(state).submit(text)
        expected = ACCEPTED if patch_id in committed else REJECTED
        if patch_id in committed or f'base = {whole.number}\n' not in text:
            assert final.outcome is expected


@hypothesis.given(strategies.integers(0, 2**32))
@hypothesis.settings(max_examples=60)
def test_racing_operators_make_one_numbered_order(seed):
    trio.run(_race, seed, clock=testing.MockClock(autojump_threshold=0))


async def test_delayed_write_cannot_commit_after_a_rejection(
    autojump_clock, state, writer
):
    sent = []
    real = state.transact

    def capture(compares, writes):
        sent.append((compares, writes))
        raise NO_REPLY

    state.transact = capture
    late = await writer.submit(write_patch('late', 1))
    state.transact = real
    await make_writer(state).submit(write_patch('p1', 1))
    again = await writer.submit(write_patch('late', 1))
    assert (late.outcome, again.outcome) == (UNKNOWN, REJECTED)
    assert not any(real(*item).is_applied for item in sent)
