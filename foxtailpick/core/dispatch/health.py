"""Takes endpoints out of use that fail or fall silent.

Load pattern: an endpoint crashes, goes dark or fails part of its requests
while the store still lists it as ready. The first failures take it out for
a short time, and each further one for longer, so a dead endpoint costs a
few requests, and a healthy one that failed by chance is soon back.
"""

import dataclasses

# A failure counts half as much after this time. It covers a few requests
# at the usual rate to one endpoint.
FAILURE_HALF_LIFE_MS = 2_000.0
# Failures, weighted by age, that take an endpoint out of use.
FAILURE_LIMIT = 1.9
# A share of failed requests below this is passed over: some kinds of
# request fail at sound endpoints too.
FAILED_SHARE_LIMIT = 0.35
# The first pause is short since most causes pass quickly.
FIRST_PAUSE_MS = 500.0
# The longest pause is about the time in which the store drops an endpoint.
MAX_PAUSE_MS = 4_000.0
# Nothing heard for this long from an endpoint that owes answers means that
# it is dark. Above the longest usual pause before a first event.
SILENCE_MS = 700.0


@dataclasses.dataclass(slots=True)
class Health:
    """What requests have seen of one endpoint.

    :param failures: failed requests, weighted by age.
    :param broken: requests that it was sent and failed or hung with,
        weighted by age.
    :param begun: answers that it began, weighted by age.
    :param successes: successful requests, weighted by age.
    :param decayed_ms: when these were last weighted.
    :param pause_ms: length of the next pause.
    :param paused_until_ms: end of the pause under way.
    :param heard_ms: when bytes last came from it.
    :param owed_since_ms: since when it owes an answer, None if it does not.
    """

    failures: float = 0.0
    broken: float = 0.0
    begun: float = 0.0
    successes: float = 0.0
    decayed_ms: float = 0.0
    pause_ms: float = FIRST_PAUSE_MS
    paused_until_ms: float = 0.0
    heard_ms: float = 0.0
    owed_since_ms: float | None = None

    def is_paused(self, now_ms: float) -> bool:
        """Tell whether the endpoint is out of use.

        :param now_ms: current time.
        """
        return now_ms < self.paused_until_ms

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether the endpoint owes answers and says nothing.

        :param now_ms: current time.
        """
        if self.owed_since_ms is None:
            return False
        last_ms = max(self.owed_since_ms, self.heard_ms)
        return now_ms - last_ms > SILENCE_MS


def note_success(health: Health, now_ms: float) -> None:
    """Record an answer that came whole.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    decay(health, now_ms)
    health.successes += 1
    if health.failures < 1:
        health.pause_ms = FIRST_PAUSE_MS


def note_failure(health: Health, now_ms: float, is_fatal: bool) -> bool:
    """Record a failure, and pause the endpoint if there were too many.

    :param health: state of the endpoint.
    :param now_ms: current time.
    :param is_fatal: whether the endpoint cannot be reached at all.
    :returns: whether a pause begins.
    """
    decay(health, now_ms)
    health.failures += FAILURE_LIMIT if is_fatal else 1
    if health.is_paused(now_ms) or health.failures < FAILURE_LIMIT:
        return False
    total = health.failures + health.successes
    if not is_fatal and health.failures < FAILED_SHARE_LIMIT * total:
        return False
    health.paused_until_ms = now_ms + health.pause_ms
    health.pause_ms = min(health.pause_ms * 2, MAX_PAUSE_MS)
    return True


def note_broken(health: Health, now_ms: float) -> None:
    """Record that the endpoint failed a request that it had been sent.

    Unlike a connection that cannot be opened, this has cost a caller
    something, so other routers are told.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    decay(health, now_ms)
    health.broken += 1


def note_begun(health: Health, now_ms: float, was_noted: bool) -> None:
    """Record that an answer has begun to come.

    :param health: state of the endpoint.
    :param now_ms: current time.
    :param was_noted: whether its silence was counted as a failure, which
        it was not then.
    """
    decay(health, now_ms)
    health.begun += 1
    if was_noted:
        health.broken = max(0.0, health.broken - 1)


def decay(health: Health, now_ms: float) -> None:
    """Weight what was seen by its age.

    :param health: state of the endpoint.
    :param now_ms: current time.
    """
    age_ms = now_ms - health.decayed_ms
    factor = 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
    health.failures *= factor
    health.broken *= factor
    health.begun *= factor
    health.successes *= factor
    health.decayed_ms = now_ms
