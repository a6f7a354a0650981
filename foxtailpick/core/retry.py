"""Whether, when and at what cost a request is tried again.

A router may spend on retries only a fixed part of what it sends at first.
The budget is kept per service, so a service in trouble cannot use up the
retries of another one.
"""

import dataclasses
import enum
import random

from foxtailpick.core import types
from foxtailpick.core import verdict as verdict_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOptions:
    """Settings of retries.

    :param budget_ratio: retries allowed per first attempt, zero to one.
    :param budget_burst: retries that may be saved up, at least one.
    :param max_attempts: attempts of one request, the first one included.
    :param base_delay_ms: upper limit of the first delay.
    :param max_delay_ms: upper limit of any delay that we choose.
    :param max_asked_ms: longest delay asked for by an endpoint that is
        waited here; the caller is told of a longer one at once.
    """

    budget_ratio: float = 0.15
    budget_burst: float = 2.0
    max_attempts: int = 3
    base_delay_ms: float = 25.0
    max_delay_ms: float = 2_000.0
    max_asked_ms: float = 500.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 <= self.budget_ratio <= 1 or self.budget_burst < 1:
            raise ValueError(
                f'expected a ratio of zero to one and a burst of at least '
                f'one, got {self}; correct the settings of retries'
            )


class RetryBudget:
    """Token buckets that bound the retries of one router, by service.

    :param options: the settings of retries.
    """

    def __init__(self, options: RetryOptions) -> None:
        self._options = options
        self._tokens: dict[types.ServiceId, float] = {}

    def set_options(self, options: RetryOptions) -> None:
        """Change the settings; tokens above a smaller burst are lost."""
        self._options = options
        for service, tokens in self._tokens.items():
            self._tokens[service] = min(tokens, options.budget_burst)

    def deposit(self, service: types.ServiceId) -> None:
        """Record a first attempt, which earns a part of a retry."""
        self._tokens[service] = min(
            self.get_tokens(service) + self._options.budget_ratio,
            self._options.budget_burst,
        )

    def withdraw(self, service: types.ServiceId) -> bool:
        """Spend one retry.

        :returns: whether one was left.
        """
        tokens = self.get_tokens(service)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True

    def get_tokens(self, service: types.ServiceId) -> float:
        """Return the retries left to a service; a new one starts full."""
        return self._tokens.get(service, self._options.budget_burst)


class RetryReason(enum.Enum):
    """Why a request is tried again or not, as the log line says it."""

    ALLOWED = 'allowed'
    MAY_HAVE_RUN = 'may have run'
    ATTEMPTS_USED = 'attempts used'
    ASKED_LATER = 'asked to come back later'
    DEADLINE = 'deadline too near'
    BUDGET = 'budget exhausted'


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What is known when an attempt has failed.

    :param service: the service concerned.
    :param attempts: attempts made so far, at least one.
    :param verdict: verdict of all attempts so far.
    :param is_idempotent: whether running twice equals running once.
    :param deadline_ms: when the answer must be complete.
    :param retry_after_ms: delay asked for by the endpoint, if any.
    :param service_ms: time that an answer takes once started.
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
    """The decision on another attempt.

    :param reason: the reason, `ALLOWED` if there is to be another attempt.
    :param delay_ms: how long to wait before it.
    """

    reason: RetryReason
    delay_ms: float = 0.0

    @property
    def is_allowed(self) -> bool:
        """Tell whether there is to be another attempt."""
        return self.reason is RetryReason.ALLOWED


def plan_retry(
    failed: FailedAttempt,
    budget: RetryBudget,
    options: RetryOptions,
    rng: random.Random,
    now_ms: float,
) -> RetryPlan:
    """Decide on another attempt; an allowed one is taken off the budget.

    :param failed: what is known of the request.
    :param budget: the router's budget.
    :param options: the settings of retries.
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
    if (failed.retry_after_ms or 0.0) > options.max_asked_ms:
        return RetryPlan(RetryReason.ASKED_LATER)
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
    asked_ms = failed.retry_after_ms or 0.0
    return asked_ms + rng.uniform(0.0, limit_ms)
