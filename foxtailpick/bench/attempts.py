"""Memory and processor time per attempt, replay chunk and claim."""

import time
import tracemalloc
import typing

from foxtailpick.bench import tables
from foxtailpick.core import attempts
from foxtailpick.core import claim_records
from foxtailpick.core import claim_table
from foxtailpick.core import invariants
from foxtailpick.core import replay
from foxtailpick.core import verdict

SIZES = (1_000, 2_000, 4_000, 8_000)
CHUNK = b'x' * 196
ANSWER = b'x' * 300
MICROSECONDS_PER_SECOND = 1e6

Fill = typing.Callable[[int], object]


def measure() -> list[tables.Table]:
    """Measure each kind of record at four table sizes."""
    table = tables.Table(
        'Attempts, chunks of 200 bytes and claims with answers of 300 bytes: '
        'memory and processor time each, by the number held',
        ('record', 'held', 'bytes each', 'µs each'),
    )
    kinds: dict[str, Fill] = {
        'attempt, finished, no answer': _fill_attempts,
        'chunk kept for replay': _fill_replay,
        'claim in a sidecar': _fill_claims,
    }
    for name, fill in kinds.items():
        for size in SIZES:
            bytes_each = _measure_bytes(fill, size) / size
            micros_each = _measure_micros(fill, size) / size
            table.add_row(name, size, bytes_each, micros_each)
    return [table, _measure_stored_bytes()]


def _measure_stored_bytes() -> tables.Table:
    table = tables.Table(
        'One claim in the store, key of 36 characters', ('claim', 'bytes')
    )
    key = claim_records.ClaimKey('account-12345', 'lupa-sovellus', 'k' * 36)
    owner = claim_records.ClaimOwner('endpoint-123', 'incarnation-123456')
    for state, answer in (
        (claim_records.ClaimState.CLAIMED, None),
        (claim_records.ClaimState.RAN, ANSWER),
    ):
        claim = claim_records.Claim(
            state, 'incarnation-123456:1234', b'd' * 16, owner, answer, 1 << 60
        )
        table.add_row(state.value, len(key.path) + len(claim.encode()))
    return table


def _measure_bytes(fill: Fill, size: int) -> int:
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        # The reference keeps the object alive until it is measured.
        held = fill(size)
        after = tracemalloc.get_traced_memory()[0]
        del held
    finally:
        tracemalloc.stop()
    return after - before


def _measure_micros(fill: Fill, size: int) -> float:
    start_s = time.process_time()
    fill(size)
    return (time.process_time() - start_s) * MICROSECONDS_PER_SECOND


def _fill_attempts(size: int) -> object:
    monitor = invariants.Monitor()
    table = attempts.AttemptTable('i1', monitor)
    for number in range(size):
        name = f'attempt-{number:020}'
        table.open(name, 'i1', 0.0, 0.0)
        table.start(name)
        table.finish(name, verdict.Verdict.RAN, None, 0.0)
    return table


def _fill_replay(size: int) -> object:
    buffer = replay.ReplayBuffer('attempt', max_bytes=1 << 30)
    for number in range(size):
        buffer.append(CHUNK + number.to_bytes(4, 'big'))
    return buffer


def _fill_claims(size: int) -> object:
    table = claim_table.ClaimTable(size, 1.0)
    for number in range(size):
        key = claim_records.ClaimKey('acc', 'svc', f'key-{number:032}')
        record = table.get_or_add(key.path, 0.0)
        record.nonce = f'incarnation:{number}'
        record.body_digest = claim_records.compute_body_digest(CHUNK)
        record.answer = ANSWER + str(number).encode()
        table.mark_saved(record, 0.0)
    return table
