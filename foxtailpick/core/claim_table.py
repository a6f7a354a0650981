"""Bounded in-memory table of the idempotency keys of one sidecar."""

import dataclasses
import enum

from foxtailpick.adapters import base
from foxtailpick.core import claim_errors
from foxtailpick.core import claim_records
from foxtailpick.core import transition_table
from foxtailpick.core import types


class ClaimPhase(enum.Enum):
    """Phase of a key in this process; the chart is `claim.json`."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """State of one key.

    :param path: key of its claim in the store.
    :param phase: phase of the key.
    :param body_digest: digest of the request.
    :param nonce: nonce of the current or last claim attempt.
    :param unused_nonces: nonces that may be stored and never ran.
    :param began_ms: when the current claim attempt began.
    :param cached_ms: when the state was written to or read from the store.
    :param revision: revision of the claim when it was acquired.
    :param may_be_stored: whether the current nonce may be in the store.
    :param runs: how many calls ran or may have run.
    :param answer: the answer, if the call ran and it was small enough.
    :param answer_check: check value of the answer.
    """

    path: str
    phase: ClaimPhase = ClaimPhase.IDLE
    body_digest: bytes = b''
    nonce: str = ''
    unused_nonces: frozenset[str] = frozenset()
    began_ms: float = 0.0
    cached_ms: float = 0.0
    revision: types.Revision = base.ABSENT
    may_be_stored: bool = False
    runs: int = 0
    answer: bytes | None = None
    answer_check: int = 0

    def make_claim(
        self,
        state: claim_records.ClaimState,
        owner: claim_records.ClaimOwner,
    ) -> claim_records.Claim:
        """Return the claim to be stored for the key."""
        return claim_records.Claim(
            state,
            self.nonce,
            self.body_digest,
            owner,
            self.answer,
            self.answer_check,
        )


class ClaimTable:
    """The keys of one sidecar.

    A key is pending while a result is to be written to the store or a claim
    removed from it, and cached afterwards. Only cached keys are evicted.

    :param max_records: maximum number of keys.
    :param cache_ms: how long a key is cached.
    """

    def __init__(self, max_records: int, cache_ms: float) -> None:
        self._max_records = max_records
        self._cache_ms = cache_ms
        self._transitions = transition_table.load_transition_table(
            'claim', ClaimPhase
        )
        self._records: dict[str, ClaimRecord] = {}
        self._pending: dict[str, None] = {}
        self._cached: dict[str, None] = {}

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._records)

    def list_pending(self) -> list[ClaimRecord]:
        """Return the keys for which the store is not up to date."""
        return [self._records[path] for path in self._pending]

    def get_or_add(self, path: str, now_ms: float) -> ClaimRecord:
        """Return the record of a key, adding one if there is none.

        :param path: key of its claim in the store.
        :param now_ms: the current time.
        :raises errors.RequestError: with code `OVERLOADED` if the table is
            full of keys that must not be evicted.
        """
        self._evict_expired(now_ms)
        record = self._records.get(path)
        if record is not None:
            return record
        if len(self._records) >= self._max_records and self._cached:
            self._remove(next(iter(self._cached)))
        if len(self._records) >= self._max_records:
            raise claim_errors.make_table_full_error(self._max_records)
        record = ClaimRecord(path)
        self._records[path] = record
        return record

    def apply_event(self, record: ClaimRecord, event: str) -> None:
        """Apply an event of the chart to a key's phase.

        :raises ValueError: if the chart has no such transition.
        """
        target = self._transitions.get((record.phase, event))
        if target is None:
            raise ValueError(
                f'expected a phase with a transition for {event}, '
                f'{record.path} is {record.phase.value}; correct '
                f'charts/claim.json'
            )
        record.phase = target

    def is_pending(self, record: ClaimRecord) -> bool:
        """Return whether the store is not up to date for a key."""
        return self._is_current(record) and record.path in self._pending

    def mark_pending(self, record: ClaimRecord) -> None:
        """Keep a key until the store is up to date for it."""
        self._pending[record.path] = None

    def mark_saved(self, record: ClaimRecord, now_ms: float) -> None:
        """Turn a key into a cache entry of its stored state."""
        if not self._is_current(record):
            return
        record.cached_ms = now_ms
        self._pending.pop(record.path, None)
        self._cached.pop(record.path, None)
        self._cached[record.path] = None

    def remove_idle(self, record: ClaimRecord) -> None:
        """Remove a key that is idle and not pending."""
        is_idle = record.phase is ClaimPhase.IDLE
        if is_idle and record.path not in self._pending:
            self._remove(record.path)

    def mark_released(self, record: ClaimRecord) -> None:
        """Remove an idle key whose claim is no longer in the store."""
        if record.phase is ClaimPhase.IDLE and self._is_current(record):
            self._remove(record.path)

    def _is_current(self, record: ClaimRecord) -> bool:
        # The key may have got a new record while a write was in flight.
        return self._records.get(record.path) is record

    def _evict_expired(self, now_ms: float) -> None:
        while self._cached:
            path = next(iter(self._cached))
            if now_ms - self._records[path].cached_ms < self._cache_ms:
                return
            self._remove(path)

    def _remove(self, path: str) -> None:
        self._records.pop(path, None)
        self._cached.pop(path, None)
        self._pending.pop(path, None)
