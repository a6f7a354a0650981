"""Representation of claims in the platform's store."""

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
    """State of a call with an idempotency key, as stored."""

    CLAIMED = 'claimed'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identifies one non-idempotent call.

    :param account: the client account; keys are scoped to it.
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
    """The sidecar that created a claim.

    :param endpoint: the endpoint that the sidecar serves.
    :param incarnation: incarnation of the sidecar, unique to its process.
    """

    endpoint: types.EndpointId
    incarnation: types.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The stored value of a claim.

    :param state: state of the call.
    :param nonce: unique to each claim attempt.
    :param body_digest: digest of the request, to detect a reused key.
    :param owner: the sidecar that may run the call.
    :param answer: the answer, if the call ran and it was small enough.
    :param answer_check: check value of the answer, bound to the path.
    """

    state: ClaimState
    nonce: str
    body_digest: bytes
    owner: ClaimOwner
    answer: bytes | None = None
    answer_check: int = 0

    def encode(self) -> bytes:
        """Encode the claim as CBOR."""
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
        """Decode a claim.

        :param data: the stored value.
        :raises errors.RequestError: with verdict `MAY_HAVE_RUN` if it
            cannot be decoded.
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
                f'expected a claim of format {FORMAT}, got {exc}; read it '
                f'with the newest release',
                verdict.Verdict.MAY_HAVE_RUN,
            ) from exc


def compute_body_digest(body: bytes) -> bytes:
    """Return the digest that distinguishes request bodies of one key."""
    return xxhash.xxh3_128_digest(body)


def compute_answer_check(path: str, answer: bytes) -> int:
    """Return the check value of an answer, bound to its claim's path."""
    seed = xxhash.xxh64_intdigest(path.encode())
    return xxhash.xxh64_intdigest(answer, seed=seed)
