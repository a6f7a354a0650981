"""The keys that one sidecar has in hand, within a bound."""

import dataclasses
import enum

from foxtailpick.adapters import base
from foxtailpick.core import claim_errors
from foxtailpick.core import claim_records
from foxtailpick.core import transition_table
from foxtailpick.core import types


class ClaimPhase(enum.Enum):
    """What this process does with a key; the chart is `claim.json`."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """One key in hand.

    :param path: key of its claim in the store.
    :param phase: what is done with it.
    :param body_digest: digest of the request.
    :param nonce: nonce of the current or last try to claim.
    :param unused_nonces: nonces that may be stored and never ran.
    :param began_ms: when the current try began.
    :param cached_ms: when the store became up to date.
    :param revision: revision of the claim when it was won.
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
        """Return what the store shall say of the key."""
        return claim_records.Claim(
            state,
            self.nonce,
            self.body_digest,
            owner,
            self.answer,
            self.answer_check,
        )


class ClaimTable:
    """The keys in hand.

    A key is pending while the store is not up to date about it, and cached
    afterwards. Only cached keys are forgotten.

    :param max_records: bound on the number of keys.
    :param cache_ms: how long a key is cached, in milliseconds.
    """

    def __init__(self, max_records: int, cache_ms: float) -> None:
        self._max_records = max_records
        self._cache_ms = cache_ms
        self._moves = transition_table.load_transition_table(
            'claim', ClaimPhase
        )
        self._records: dict[str, ClaimRecord] = {}
        self._pending: dict[str, None] = {}
        self._cached: dict[str, None] = {}

    def __len__(self) -> int:
        """Return the number of keys held."""
        return len(self._records)

    def list_pending(self) -> list[ClaimRecord]:
        """Return the keys about which the store is not up to date."""
        return [self._records[path] for path in self._pending]

    def get_or_add(self, path: str, now_ms: float) -> ClaimRecord:
        """Return the record of a key.

        :param path: key of its claim in the store.
        :param now_ms: current time in milliseconds.
        :raises errors.RequestError: with code `OVERLOADED` if the table is
            full of keys that must not be forgotten.
        """
        self._drop_expired(now_ms)
        record = self._records.get(path)
        if record is not None:
            return record
        if len(self._records) >= self._max_records and self._cached:
            self._forget(next(iter(self._cached)))
        if len(self._records) >= self._max_records:
            raise claim_errors.make_full_error(self._max_records)
        record = ClaimRecord(path)
        self._records[path] = record
        return record

    def move(self, record: ClaimRecord, event: str) -> None:
        """Change a key's phase by an event of the chart.

        :raises ValueError: if the phase does not know the event.
        """
        target = self._moves.get((record.phase, event))
        if target is None:
            raise ValueError(
                f'expected a phase that knows {event}, {record.path} is '
                f'{record.phase.value}; correct charts/claim.json'
            )
        record.phase = target

    def is_pending(self, record: ClaimRecord) -> bool:
        """Tell whether the store is not up to date about a key."""
        return self._is_held(record) and record.path in self._pending

    def mark_pending(self, record: ClaimRecord) -> None:
        """Keep a key until the store is up to date about it."""
        self._pending[record.path] = None

    def mark_saved(self, record: ClaimRecord, now_ms: float) -> None:
        """Keep a key as a cache of what the store says."""
        if not self._is_held(record):
            return
        record.cached_ms = now_ms
        self._pending.pop(record.path, None)
        self._cached.pop(record.path, None)
        self._cached[record.path] = None

    def drop_idle(self, record: ClaimRecord) -> None:
        """Forget a key that is neither used nor pending."""
        is_idle = record.phase is ClaimPhase.IDLE
        if is_idle and record.path not in self._pending:
            self._forget(record.path)

    def mark_released(self, record: ClaimRecord) -> None:
        """Forget an idle key whose claim is no longer in the store."""
        if record.phase is ClaimPhase.IDLE and self._is_held(record):
            self._forget(record.path)

    def _is_held(self, record: ClaimRecord) -> bool:
        # Another record may stand for the key since a write was begun.
        return self._records.get(record.path) is record

    def _drop_expired(self, now_ms: float) -> None:
        while self._cached:
            path = next(iter(self._cached))
            if now_ms - self._records[path].cached_ms < self._cache_ms:
                return
            self._forget(path)

    def _forget(self, path: str) -> None:
        self._records.pop(path, None)
        self._cached.pop(path, None)
        self._pending.pop(path, None)
