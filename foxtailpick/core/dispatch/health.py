"""Passive health checks: pauses endpoints that fail or stop responding.

Load pattern: an endpoint crashes, becomes unreachable or fails part of its
requests while the store still lists it as ready. The first pause is short
and each further one is longer (exponential backoff), so a dead endpoint
costs few requests, and a healthy one that failed by chance is soon used
again.
"""

import dataclasses

# Half-life of the counters; at the usual rate to one endpoint it covers a
# few requests.
FAILURE_HALF_LIFE_MS = 2_000.0
# Decayed failures at which an endpoint is paused.
FAILURE_LIMIT = 1.9
# A lower failure rate is tolerated: some kinds of request fail at healthy
# endpoints too.
FAILURE_RATE_LIMIT = 0.35
# Failure rate, and number of decayed failures, from which on an endpoint
# counts as failing all requests instead of a part of them.
TOTAL_FAILURE_RATE = 0.8
MIN_TOTAL_FAILURES = 3.5
# Short, since most causes are transient.
FIRST_PAUSE_MS = 500.0
# About the time after which the store drops a dead endpoint.
MAX_PAUSE_MS = 4_000.0
# An endpoint with outstanding requests that sends nothing for this long
# counts as unresponsive. Above the longest usual wait for a first event.
SILENCE_MS = 700.0


@dataclasses.dataclass(slots=True)
class Health:
    """Outcomes of this router's requests to one endpoint.

    The counters decay exponentially with age.

    :param failures: failed requests, including failed connects.
    :param failed_requests: requests that were sent but failed or got no
        answer.
    :param started_answers: requests whose answer started.
    :param successes: requests whose answer was complete.
    :param decayed_ms: when the counters were last decayed.
    :param pause_ms: length of the next pause.
    :param paused_until_ms: end of the current pause.
    :param is_reachable: whether the last failure came from the endpoint, as
        opposed to one to reach it.
    :param last_received_ms: when bytes were last received from it.
    :param awaiting_since_ms: since when an answer is outstanding, None if
        there is none.
    """

    failures: float = 0.0
    failed_requests: float = 0.0
    started_answers: float = 0.0
    successes: float = 0.0
    decayed_ms: float = 0.0
    pause_ms: float = FIRST_PAUSE_MS
    paused_until_ms: float = 0.0
    is_reachable: bool = True
    last_received_ms: float = 0.0
    awaiting_since_ms: float | None = None

    def is_paused(self, now_ms: float) -> bool:
        """Tell whether the endpoint is paused.

        :param now_ms: current time.
        """
        return now_ms < self.paused_until_ms

    def is_partly_failing(self, now_ms: float) -> bool:
        """Tell whether the endpoint is paused though it serves some callers.

        :param now_ms: current time.
        """
        if not self.is_paused(now_ms) or not self.is_reachable:
            return False
        if self.is_silent(now_ms):
            return False
        total = self.failures + self.successes
        return (
            self.failures < MIN_TOTAL_FAILURES
            or self.failures < TOTAL_FAILURE_RATE * total
        )

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether the endpoint is not responding to open requests.

        :param now_ms: current time.
        """
        if self.awaiting_since_ms is None:
            return False
        last_ms = max(self.awaiting_since_ms, self.last_received_ms)
        return now_ms - last_ms > SILENCE_MS

    def is_suspect(self, now_ms: float) -> bool:
        """Tell whether the endpoint is paused or not responding.

        :param now_ms: current time.
        """
        return self.is_paused(now_ms) or self.is_silent(now_ms)


def record_success(health: Health, now_ms: float) -> None:
    """Record a complete answer.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    decay(health, now_ms)
    health.successes += 1
    if health.failures < 1:
        health.pause_ms = FIRST_PAUSE_MS


def record_failure(health: Health, now_ms: float, is_fatal: bool) -> bool:
    """Record a failure and pause the endpoint if there were too many.

    :param health: state of the endpoint.
    :param now_ms: current time.
    :param is_fatal: whether this failure alone reaches the limit, as when
        the endpoint is unreachable.
    :returns: whether a pause starts.
    """
    decay(health, now_ms)
    health.failures += FAILURE_LIMIT if is_fatal else 1
    health.is_reachable = not is_fatal
    if health.is_paused(now_ms) or health.failures < FAILURE_LIMIT:
        return False
    total = health.failures + health.successes
    if not is_fatal and health.failures < FAILURE_RATE_LIMIT * total:
        return False
    health.paused_until_ms = now_ms + health.pause_ms
    health.pause_ms = min(health.pause_ms * 2, MAX_PAUSE_MS)
    return True


def record_failed_request(health: Health, now_ms: float) -> None:
    """Record that the endpoint failed a request that was sent to it.

    Unlike a failed connect, this has affected a caller, so it is reported
    to the other routers.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    decay(health, now_ms)
    health.failed_requests += 1


def record_answer_start(
    health: Health, now_ms: float, was_counted: bool
) -> None:
    """Record the start of an answer.

    :param health: state of the endpoint.
    :param now_ms: current time.
    :param was_counted: whether the silence before it was counted as a
        failure; that count is then reverted.
    """
    decay(health, now_ms)
    health.started_answers += 1
    if was_counted:
        revert_failed_request(health, now_ms)


def revert_failed_request(health: Health, now_ms: float) -> None:
    """Take back a failed request: the endpoint was silent, but goes on.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    decay(health, now_ms)
    health.failed_requests = max(0.0, health.failed_requests - 1)


def decay(health: Health, now_ms: float) -> None:
    """Decay the counters to the current time.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    age_ms = now_ms - health.decayed_ms
    factor = 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
    health.failures *= factor
    health.failed_requests *= factor
    health.started_answers *= factor
    health.successes *= factor
    health.decayed_ms = now_ms
