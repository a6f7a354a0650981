"""Retry decisions: retry budget, backoff with jitter and safety.

A router may send retries only up to a fixed ratio of its first attempts.
The budget is kept per service, so a failing service cannot use up the
retries of another one.
"""

import dataclasses
import enum
import random

from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOptions:
    """Retry settings.

    :param budget_ratio: retries allowed per first attempt, zero to one.
    :param budget_burst: capacity of the token bucket, at least one.
    :param max_attempts: attempts of one request, including the first.
    :param base_delay_ms: upper limit of the first backoff delay.
    :param max_delay_ms: upper limit of any backoff delay.
    :param max_retry_after_ms: longest delay requested by an endpoint that
        the router waits for; a longer one is passed to the caller at once.
    """

    budget_ratio: float = 0.15
    budget_burst: float = 2.0
    max_attempts: int = 3
    base_delay_ms: float = 25.0
    max_delay_ms: float = 2_000.0
    max_retry_after_ms: float = 500.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 <= self.budget_ratio <= 1 or self.budget_burst < 1:
            raise ValueError(
                f'expected a ratio of zero to one and a burst of at least '
                f'one, got {self}; correct the retry settings'
            )


class RetryBudget:
    """Token buckets that limit the retries of one router per service.

    :param options: the retry settings.
    """

    def __init__(self, options: RetryOptions) -> None:
        self._options = options
        self._tokens: dict[types.ServiceId, float] = {}

    def set_options(self, options: RetryOptions) -> None:
        """Change the settings; tokens above the new burst are discarded."""
        self._options = options
        for service, tokens in self._tokens.items():
            self._tokens[service] = min(tokens, options.budget_burst)

    def deposit(self, service: types.ServiceId) -> None:
        """Record a first attempt, which adds a fraction of a token."""
        self._tokens[service] = min(
            self.get_tokens(service) + self._options.budget_ratio,
            self._options.budget_burst,
        )

    def withdraw(self, service: types.ServiceId) -> bool:
        """Take one token.

        :returns: whether one was available.
        """
        tokens = self.get_tokens(service)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True

    @property
    def burst(self) -> float:
        """Tokens of a full bucket."""
        return self._options.budget_burst

    def get_tokens(self, service: types.ServiceId) -> float:
        """Return the tokens of a service; a new service has a full bucket."""
        return self._tokens.get(service, self._options.budget_burst)


class RetryReason(enum.Enum):
    """Why a request is retried or not; the values appear in log lines."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may have run'
    ATTEMPTS_USED = 'attempts used'
    RETRY_AFTER_TOO_LONG = 'asked to come back later'
    DEADLINE = 'deadline too near'
    BUDGET = 'budget exhausted'


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Input of a retry decision after a failed attempt.

    :param service: the service called.
    :param attempts: attempts made so far, at least one.
    :param verdict: merged verdict of all attempts so far.
    :param is_idempotent: whether running twice equals running once.
    :param deadline_ms: time by which the answer must be complete.
    :param retry_after_ms: delay requested by the endpoint, if any.
    :param service_ms: expected service time of an answer.
    """

    service: types.ServiceId
    attempts: int
    verdict: verdict_lib.Verdict
    is_idempotent: bool
    deadline_ms: float = float('inf')
    retry_after_ms: float | None = None
    service_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPlan:
    """A retry decision.

    :param reason: the reason, `ALLOWED` if the request is to be retried.
    :param delay_ms: delay before the retry.
    """

    reason: RetryReason
    delay_ms: float = 0.0

    @property
    def is_allowed(self) -> bool:
        """Return whether the request is to be retried."""
        return self.reason is RetryReason.ALLOWED


def plan_retry(
    failed: FailedAttempt,
    budget: RetryBudget,
    options: RetryOptions,
    rng: random.Random,
    now_ms: float,
) -> RetryPlan:
    """Decide on a retry; an allowed one is withdrawn from the budget.

    :param failed: the failed attempt.
    :param budget: the router's retry budget.
    :param options: the retry settings.
    :param rng: source of the jitter.
    :param now_ms: the current time.
    """
    if not verdict_lib.is_retry_safe(failed.verdict, failed.is_idempotent):
        return RetryPlan(RetryReason.MAY_HAVE_RUN)
    if failed.attempts >= options.max_attempts:
        return RetryPlan(RetryReason.ATTEMPTS_USED)
    delay_ms = _choose_delay_ms(failed, options, rng)
    if now_ms + delay_ms + failed.service_ms > failed.deadline_ms:
        return RetryPlan(RetryReason.DEADLINE)
    if (failed.retry_after_ms or 0.0) > options.max_retry_after_ms:
        return RetryPlan(RetryReason.RETRY_AFTER_TOO_LONG)
    if not budget.withdraw(failed.service):
        return RetryPlan(RetryReason.BUDGET)
    return RetryPlan(RetryReason.ALLOWED, delay_ms)


def _choose_delay_ms(
    failed: FailedAttempt, options: RetryOptions, rng: random.Random
) -> float:
    limit_ms = min(
        options.base_delay_ms * 2 ** (failed.attempts - 1),
        options.max_delay_ms,
    )
    requested_ms = failed.retry_after_ms or 0.0
    return requested_ms + rng.uniform(0.0, limit_ms)
