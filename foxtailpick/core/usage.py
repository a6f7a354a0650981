"""Fleet-wide usage of the heaviest accounts, within a byte budget.

A sidecar sees only its own queue. Each sidecar summarizes the usage of its
heaviest accounts; routers aggregate the summaries and return the heaviest
accounts of the fleet. Both are piggybacked on other frames, within a byte
budget. An account that exceeds its agreed rate in the fleet gets a
multiplier on its cost in the local queues.
"""

import dataclasses
import heapq
import math
import struct
import typing

import xxhash

from foxtailpick.core import types

HEADER = struct.Struct('!IB')
ITEM = struct.Struct('!IB')
RATE_STEPS_PER_DOUBLING = 8
HALF_LIFE_MS = 10.0 * types.SECOND_MS
MAX_MULTIPLIER = 64.0
MIN_UPDATE_INTERVAL_MS = 5.0 * types.SECOND_MS
CONTROL_GAIN = 0.5

AccountHash = typing.NewType('AccountHash', int)
SourceHash = typing.NewType('SourceHash', int)


def hash_account(account: types.AccountId) -> AccountHash:
    """Return the four-byte hash that identifies an account on the wire.

    Two of 29,000 accounts may collide; they are then treated as one heavy
    account, with an effect limited by `MAX_MULTIPLIER`.
    """
    return AccountHash(xxhash.xxh32_intdigest(account.encode()))


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Usage of the heaviest accounts seen by one source.

    :param source: hash of the endpoint or of the aggregating router.
    :param rates: tokens per second by account, the heaviest first.
    """

    source: SourceHash
    rates: tuple[tuple[AccountHash, float], ...]

    def encode(self) -> bytes:
        """Encode the summary, in five bytes plus five for each account."""
        items = (
            ITEM.pack(account, _encode_rate(rate))
            for account, rate in self.rates
        )
        return HEADER.pack(self.source, len(self.rates)) + b''.join(items)

    @classmethod
    def decode(cls, data: bytes) -> 'Summary':
        """Decode a summary.

        :raises ValueError: if the length does not match the item count.
        """
        source, count = HEADER.unpack_from(data)
        if len(data) != HEADER.size + count * ITEM.size:
            raise ValueError(
                f'expected {HEADER.size + count * ITEM.size} bytes for '
                f'{count} accounts, got {len(data)}; drop the frame'
            )
        items = ITEM.iter_unpack(data[HEADER.size :])
        rates = tuple(
            (AccountHash(account), _decode_rate(code))
            for account, code in items
        )
        return cls(SourceHash(source), rates)


class UsageMeter:
    """Exponentially decaying token rates of the accounts of an endpoint.

    :param source: hash of the endpoint.
    :param max_accounts: maximum number of accounts in a summary, at most
        255.
    """

    def __init__(self, source: SourceHash, max_accounts: int = 16) -> None:
        self._source = source
        self._max_accounts = max_accounts
        self._tokens: dict[AccountHash, float] = {}
        self._last_ms = 0.0

    def record(
        self, account: types.AccountId, tokens: float, now_ms: float
    ) -> None:
        """Count tokens served.

        :param account: the account served.
        :param tokens: prompt and generated tokens.
        :param now_ms: the current time.
        """
        self._decay(now_ms)
        key = hash_account(account)
        self._tokens[key] = self._tokens.get(key, 0.0) + tokens

    def summarize(self, now_ms: float) -> Summary:
        """Return the rates of the heaviest accounts."""
        self._decay(now_ms)
        per_second = math.log(2) / HALF_LIFE_MS * types.SECOND_MS
        heaviest = heapq.nlargest(
            self._max_accounts, self._tokens.items(), key=_get_rate
        )
        rates = tuple((key, total * per_second) for key, total in heaviest)
        return Summary(self._source, rates)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._last_ms
        if elapsed_ms < types.SECOND_MS:
            return
        self._last_ms = now_ms
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._tokens = {
            key: total * factor
            for key, total in self._tokens.items()
            if total * factor >= 1.0
        }


class FleetUsage:
    """Aggregates the latest summary of each source.

    :param max_age_ms: age above which a summary is ignored; at least the
        interval between summaries of a source.
    :param max_sources: maximum number of sources; the oldest are dropped.
    """

    def __init__(
        self,
        max_age_ms: float = 2 * types.MINUTE_MS,
        max_sources: int = 2_048,
    ) -> None:
        self._max_age_ms = max_age_ms
        self._max_sources = max_sources
        self._summaries: dict[SourceHash, tuple[float, Summary]] = {}

    def merge(self, summary: Summary, now_ms: float) -> None:
        """Replace the previous summary of the same source."""
        self._summaries.pop(summary.source, None)
        self._summaries[summary.source] = (now_ms, summary)
        while len(self._summaries) > self._max_sources:
            self._summaries.pop(next(iter(self._summaries)))

    def summarize(
        self, source: SourceHash, max_accounts: int, now_ms: float
    ) -> Summary:
        """Aggregate the current summaries of all sources.

        :param source: hash of the aggregating router.
        :param max_accounts: maximum number of accounts in the result, at
            most 255.
        :param now_ms: the current time.
        """
        totals: dict[AccountHash, float] = {}
        for received_ms, summary in self._summaries.values():
            if now_ms - received_ms > self._max_age_ms:
                continue
            for account, rate in summary.rates:
                totals[account] = totals.get(account, 0.0) + rate
        heaviest = heapq.nlargest(max_accounts, totals.items(), key=_get_rate)
        return Summary(source, tuple(heaviest))


class ByteBudget:
    """Token bucket for the bytes of piggybacked summaries.

    :param bytes_per_s: budget of this node, in bytes per second.
    """

    def __init__(self, bytes_per_s: float = 1_000.0) -> None:
        self._bytes_per_s = bytes_per_s
        self._bytes = bytes_per_s
        self._last_ms = 0.0
        self.spent_bytes = 0

    def try_spend(self, size_bytes: int, now_ms: float) -> bool:
        """Take bytes from the budget if it has enough.

        :param size_bytes: size of the encoded summary.
        :param now_ms: the current time.
        :returns: whether the summary may be sent.
        """
        refill = (now_ms - self._last_ms) / types.SECOND_MS * self._bytes_per_s
        self._last_ms = now_ms
        self._bytes = min(self._bytes + refill, self._bytes_per_s)
        if self._bytes < size_bytes:
            return False
        self._bytes -= size_bytes
        self.spent_bytes += size_bytes
        return True


class MultiplierController:
    """Adjusts cost multipliers until accounts meet their agreed rates.

    This is integral control, because a multiplier proportional to the
    excess would leave a residual excess.
    """

    def __init__(self) -> None:
        self._multipliers: dict[types.AccountId, float] = {}
        self._updated_ms = -math.inf

    def update(
        self,
        fleet: Summary,
        accounts: typing.Iterable[types.AccountId],
        find_agreed_rate: typing.Callable[[types.AccountId], float],
        now_ms: float,
    ) -> typing.Mapping[types.AccountId, float]:
        """Update the multipliers from the usage of the fleet.

        :param fleet: the heaviest accounts of the fleet.
        :param accounts: accounts with work in the local queue.
        :param find_agreed_rate: returns the agreed fleet-wide rate of an
            account in tokens per second, above zero.
        :param now_ms: the current time; calls within
            `MIN_UPDATE_INTERVAL_MS` of the last update change nothing.
        :returns: the factors above one, by account.
        """
        if now_ms - self._updated_ms < MIN_UPDATE_INTERVAL_MS:
            return self._multipliers
        self._updated_ms = now_ms
        rates = dict(fleet.rates)
        updated = {}
        for account in {*accounts, *self._multipliers}:
            rate = rates.get(hash_account(account), 0.0)
            ratio = rate / find_agreed_rate(account)
            factor = self._multipliers.get(account, 1.0)
            factor *= max(ratio, 0.25) ** CONTROL_GAIN
            if factor > 1.0:
                updated[account] = min(factor, MAX_MULTIPLIER)
        self._multipliers = updated
        return updated


def _get_rate(item: tuple[AccountHash, float]) -> float:
    return item[1]


def _encode_rate(rate: float) -> int:
    code = round(math.log2(max(rate, 1.0)) * RATE_STEPS_PER_DOUBLING)
    return min(code, 255)


def _decode_rate(code: int) -> float:
    return 2.0 ** (code / RATE_STEPS_PER_DOUBLING)
