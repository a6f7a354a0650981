"""Tests of tickets."""

import pytest

from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import errors
from foxtailpick.core import tickets
from foxtailpick.core import verdict

ErrorCode = errors.ErrorCode
Verdict = verdict.Verdict
LIMITS = tickets.TicketLimits(
    lifetime_ms=1_000.0, max_tickets=2, max_answer_bytes=4
)
RUNS = []


@pytest.fixture
def make_table(manual_clock, monitor):
    RUNS.clear()

    def make(endpoint='e1', incarnation='i1'):
        owner = claim_records.ClaimOwner(endpoint, incarnation)
        return tickets.TicketTable(owner, manual_clock, monitor, LIMITS)

    return make


def make_key(table):
    return claim_records.ClaimKey('acc', 'svc', table.issue().key)


async def run():
    RUNS.append('run')
    return b'%d' % len(RUNS)


async def assert_error(code, outcome, awaitable):
    with pytest.raises(errors.RequestError) as caught:
        await awaitable
    assert (caught.value.code, caught.value.verdict) == (code, outcome)


async def test_a_ticket_runs_once(make_table):
    table = make_table()
    key, other = make_key(table), make_key(table)
    assert await table.run_once(key, b'x', run) == (
        claims.StoredAnswer(b'1', False)
    )
    assert await table.run_once(key, b'x', run) == (
        claims.StoredAnswer(b'1', True)
    )
    await assert_error(
        ErrorCode.KEY_REUSED, Verdict.NOT_RUN, table.run_once(key, b'y', run)
    )
    assert (await table.run_once(other, b'x', run)).answer == b'2'


@pytest.mark.parametrize('owner', [('e1', 'i2'), ('e2', 'i1')])
async def test_only_its_own_incarnation_runs_a_ticket(make_table, owner):
    key = make_key(make_table())
    await assert_error(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        make_table(*owner).run_once(key, b'x', run),
    )
    assert RUNS == []


@pytest.mark.parametrize(
    'text',
    ['abc', 'ticket~e1~i1~9~1', 'ticket~e1~i1~x~1', 'ticket~e1~i1~0'],
)
async def test_an_invalid_ticket_is_not_run(make_table, text):
    key = claim_records.ClaimKey('acc', 'svc', text)
    await assert_error(
        ErrorCode.OUTCOME_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        make_table().run_once(key, b'x', run),
    )


async def test_an_expired_ticket_is_not_run_nor_evicted_early(
    make_table, manual_clock
):
    table = make_table()
    keys = [make_key(table) for _ in range(3)]
    for key in keys[:2]:
        await table.run_once(key, b'x', run)
    await assert_error(
        ErrorCode.OVERLOADED,
        Verdict.NOT_RUN,
        table.run_once(keys[2], b'x', run),
    )
    manual_clock.advance(LIMITS.lifetime_ms)
    for key in keys:
        await assert_error(
            ErrorCode.OUTCOME_UNKNOWN,
            Verdict.MAY_HAVE_RUN,
            table.run_once(key, b'x', run),
        )
    await table.run_once(make_key(table), b'x', run)
    assert len(RUNS) == 3


@pytest.mark.parametrize(
    ('outcome', 'code', 'runs'),
    [
        (Verdict.NOT_RUN, ErrorCode.ENDPOINT_FAILED, 1),
        (Verdict.MAY_HAVE_RUN, ErrorCode.OUTCOME_UNKNOWN, 0),
    ],
)
async def test_only_a_call_that_did_not_run_is_run_again(
    make_table, outcome, code, runs
):
    async def fail():
        raise errors.RequestError(ErrorCode.ENDPOINT_FAILED, 'x', outcome)

    table = make_table()
    key = make_key(table)
    await assert_error(code, outcome, table.run_once(key, b'x', fail))
    if runs:
        await table.run_once(key, b'x', run)
    else:
        await assert_error(code, outcome, table.run_once(key, b'x', run))
    assert len(RUNS) == runs


async def test_a_ticket_in_use_is_not_run_again(make_table):
    table = make_table()
    key = make_key(table)

    async def call_again():
        await assert_error(
            ErrorCode.CALL_IN_PROGRESS,
            Verdict.MAY_HAVE_RUN,
            table.run_once(key, b'x', run),
        )
        return b'12345'

    assert (await table.run_once(key, b'x', call_again)).answer == b'12345'
    await assert_error(
        ErrorCode.ANSWER_NOT_KEPT, Verdict.RAN, table.run_once(key, b'x', run)
    )
    assert RUNS == []
