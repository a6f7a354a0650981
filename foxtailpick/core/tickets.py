"""At-most-once execution without the store, tied to one incarnation.

A caller that needs its call served during a store outage first requests a
ticket from a sidecar and uses it as the idempotency key. The ticket names
the incarnation that issued it and only that incarnation runs it, so its
in-memory table is sufficient. The answers are lost with the process: a
repeated call then gets "may have run".
"""

import dataclasses
import enum
import typing

from foxtailpick.core import claim_errors
from foxtailpick.core import claim_records
from foxtailpick.core import claims
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib

if typing.TYPE_CHECKING:
    from foxtailpick.core import clock as clock_lib

Verdict = verdict_lib.Verdict

PREFIX = 'ticket'
SEPARATOR = '~'


class _TicketState(enum.Enum):
    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key issued by one incarnation of a sidecar.

    :param owner: the only sidecar that may run it.
    :param issued_ms: when it was issued, on that sidecar's clock.
    :param number: unique among the tickets of one incarnation.
    """

    owner: claim_records.ClaimOwner
    issued_ms: int
    number: int

    @property
    def key(self) -> types.IdempotencyKey:
        """The ticket as an idempotency key."""
        return types.IdempotencyKey(
            SEPARATOR.join(
                (
                    PREFIX,
                    self.owner.endpoint,
                    self.owner.incarnation,
                    str(self.issued_ms),
                    str(self.number),
                )
            )
        )

    @classmethod
    def from_key(cls, key: types.IdempotencyKey) -> 'Ticket | None':
        """Parse a key; None if it does not have the form of a ticket."""
        prefix, *parts = key.split(SEPARATOR)
        if prefix != PREFIX or len(parts) != 4:
            return None
        endpoint, incarnation, issued_ms, number = parts
        if not (issued_ms.isdecimal() and number.isdecimal()):
            return None
        owner = claim_records.ClaimOwner(endpoint, incarnation)
        return cls(owner, int(issued_ms), int(number))


@dataclasses.dataclass(frozen=True, slots=True)
class TicketLimits:
    """Limits of a `TicketTable`.

    :param lifetime_ms: how long after its issue a ticket may be used.
    :param max_tickets: used tickets in memory; further calls are rejected.
    :param max_answer_bytes: the largest answer that is stored.
    """

    lifetime_ms: float = 10 * types.MINUTE_MS
    max_tickets: int = 4_096
    max_answer_bytes: int = 2 * 1024


@dataclasses.dataclass(slots=True)
class _UsedTicket:
    body_digest: bytes
    expires_ms: float
    state: _TicketState = _TicketState.RUNNING
    answer: bytes | None = None


class TicketTable:
    """The tickets of one incarnation of a sidecar.

    :param owner: this sidecar.
    :param clock: monotonic clock.
    :param monitor: checks the at-most-once invariant.
    :param limits: limits of the table.
    """

    def __init__(
        self,
        owner: claim_records.ClaimOwner,
        clock: 'clock_lib.Clock | clock_lib.ManualClock',
        monitor: invariants.Monitor,
        limits: TicketLimits | None = None,
    ) -> None:
        self.owner = owner
        self._clock = clock
        self._monitor = monitor
        self._limits = limits or TicketLimits()
        self._used: dict[str, _UsedTicket] = {}
        self._next_number = 0

    def issue(self) -> Ticket:
        """Return a new ticket; it takes no memory until it is used."""
        self._next_number += 1
        issued_ms = int(self._clock.now())
        return Ticket(self.owner, issued_ms, self._next_number)

    async def run_once(
        self,
        key: claim_records.ClaimKey,
        body: bytes,
        call: claims.Call,
    ) -> claims.StoredAnswer:
        """Run a call whose key is a ticket, unless it was used.

        :param key: identifies the call; its key is a ticket.
        :param body: the request.
        :param call: runs the call, see `ClaimEngine.run_once`.
        :raises errors.RequestError: as `ClaimEngine.run_once` does, without
            the codes that concern the store. A ticket of another
            incarnation, or an expired one, gets `OUTCOME_UNKNOWN`.
        """
        digest = claim_records.compute_body_digest(body)
        self._evict_expired()
        self._check_is_valid(key.key)
        used = self._used.get(key.path)
        if used is not None:
            return self._get_stored_answer(used, digest)
        return await self._run(key, digest, call)

    def _check_is_valid(self, key: types.IdempotencyKey) -> None:
        ticket = Ticket.from_key(key)
        now_ms = self._clock.now()
        if (
            ticket is None
            or ticket.owner != self.owner
            or ticket.issued_ms > now_ms
            or self._get_expiry_ms(ticket) <= now_ms
        ):
            raise claim_errors.make_unknown_error()

    def _get_expiry_ms(self, ticket: Ticket) -> float:
        return ticket.issued_ms + self._limits.lifetime_ms

    def _get_stored_answer(
        self, used: _UsedTicket, digest: bytes
    ) -> claims.StoredAnswer:
        if used.body_digest != digest:
            raise claim_errors.make_key_reused_error()
        if used.state is _TicketState.RUNNING:
            raise claim_errors.make_in_progress_error()
        if used.state is _TicketState.UNKNOWN:
            raise claim_errors.make_unknown_error()
        if used.answer is None:
            raise claim_errors.make_answer_not_kept_error()
        return claims.StoredAnswer(used.answer, True)

    async def _run(
        self, key: claim_records.ClaimKey, digest: bytes, call: claims.Call
    ) -> claims.StoredAnswer:
        used = self._add(key, digest)
        try:
            answer = await call()
        except errors.InvariantError:
            used.state = _TicketState.UNKNOWN
            raise
        except errors.FoxtailError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                del self._used[key.path]
                raise
            used.state = _TicketState.UNKNOWN
            raise claim_errors.make_unknown_error() from exc
        except BaseException as exc:
            used.state = _TicketState.UNKNOWN
            if not isinstance(exc, Exception):
                raise
            raise claim_errors.make_unknown_error() from exc
        used.state = _TicketState.RAN
        if len(answer) <= self._limits.max_answer_bytes:
            used.answer = answer
        return claims.StoredAnswer(answer, False)

    def _add(self, key: claim_records.ClaimKey, digest: bytes) -> _UsedTicket:
        ticket = Ticket.from_key(key.key)
        if len(self._used) >= self._limits.max_tickets:
            raise claim_errors.make_table_full_error(self._limits.max_tickets)
        self._monitor.check(
            invariants.Invariant.AT_MOST_ONCE,
            key.path not in self._used and ticket.owner == self.owner,
            lambda: f'{key.path} ran again, or on {self.owner}',
        )
        used = _UsedTicket(digest, self._get_expiry_ms(ticket))
        self._used[key.path] = used
        return used

    def _evict_expired(self) -> None:
        now_ms = self._clock.now()
        if len(self._used) < self._limits.max_tickets:
            return
        # A used ticket must be kept until it expires: before that only its
        # record distinguishes it from an unused one.
        self._used = {
            path: used
            for path, used in self._used.items()
            if used.expires_ms > now_ms or used.state is _TicketState.RUNNING
        }
