"""Claims as the platform's store holds them."""

import dataclasses
import enum
import urllib.parse

import cbor2
import xxhash

from foxtailpick.core import errors
from foxtailpick.core import types
from foxtailpick.core import verdict

PREFIX = 'claims/'
MAX_KEY_BYTES = 255
FORMAT = 1


class ClaimState(enum.Enum):
    """What the store says of a call with an idempotency key."""

    CLAIMED = 'claimed'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Names one non-idempotent call.

    :param account: the client account; keys of two accounts never meet.
    :param service: the service that is called.
    :param key: the caller's idempotency key, at most 255 bytes.
    """

    account: types.AccountId
    service: types.ServiceId
    key: types.IdempotencyKey

    def __post_init__(self) -> None:
        if not 0 < len(self.key.encode()) <= MAX_KEY_BYTES:
            raise errors.RequestError(
                errors.ErrorCode.REQUEST_MALFORMED,
                f'expected an idempotency key of 1 to {MAX_KEY_BYTES} bytes, '
                f'got {len(self.key.encode())}; shorten it',
            )

    @property
    def path(self) -> str:
        """Key of the claim in the store."""
        parts = (self.service, self.account, self.key)
        quoted = (urllib.parse.quote(part, safe='') for part in parts)
        return PREFIX + '/'.join(quoted)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOwner:
    """The sidecar that made a claim.

    :param endpoint: the endpoint beside it.
    :param incarnation: its incarnation; no two processes share one.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The stored value of a claim.

    :param state: what is known of the call.
    :param nonce: differs between any two tries to claim.
    :param body_digest: digest of the request, to find a reused key.
    :param owner: who may run the call.
    :param answer: the answer, None unless it ran and was small enough.
    :param answer_check: check value of the answer, bound to the path.
    """

    state: ClaimState
    nonce: str
    body_digest: bytes
    owner: ClaimOwner
    answer: bytes | None = None
    answer_check: int = 0

    def encode(self) -> bytes:
        """Return the claim as CBOR."""
        return cbor2.dumps(
            [
                FORMAT,
                self.state.value,
                self.nonce,
                self.body_digest,
                self.owner.endpoint,
                self.owner.incarnation,
                self.answer,
                self.answer_check,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> 'Claim':
        """Read a claim.

        :raises errors.RequestError: with verdict `MAY_HAVE_RUN` if it
            cannot be read.
        """
        try:
            version, state, nonce, digest, *rest = cbor2.loads(data)
            endpoint, incarnation, answer, check = rest
            if version != FORMAT:
                raise ValueError(f'format {version}')
            owner = ClaimOwner(endpoint, incarnation)
            return cls(ClaimState(state), nonce, digest, owner, answer, check)
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            raise errors.RequestError(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                f'expected a claim of format {FORMAT}, got {exc}; let the '
                f'newest release read it',
                verdict.Verdict.MAY_HAVE_RUN,
            ) from exc


def compute_body_digest(body: bytes) -> bytes:
    """Return the digest that tells two requests of one key apart."""
    return xxhash.xxh3_128_digest(body)


def compute_answer_check(path: str, answer: bytes) -> int:
    """Return the check value of an answer, bound to its claim's path."""
    seed = xxhash.xxh64_intdigest(path.encode())
    return xxhash.xxh64_intdigest(answer, seed=seed)
