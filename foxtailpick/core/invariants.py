"""Invariants of the system, checked at run time.

A violation raises in tests; in production it is counted and logged, since a
process that stops serves no requests at all.
"""

import collections
import enum
import typing

from loguru import logger

from foxtailpick.core import errors


class Invariant(enum.Enum):
    """Conditions that must always hold."""

    LOAD_BOUND = 'no engine above the set multiple of the mean load'
    SLOW_START = 'a fresh endpoint receives only what it can bear'
    DOMAIN_OUT = 'a failure domain out of service receives no new work'
    WHOLE_ANSWER = 'each caller receives the whole answer to its request'
    TRUE_REFUSAL = 'a refusal that says not run is true'
    AT_MOST_ONCE = 'a non-idempotent call runs at most once'
    LEAVING = 'a leaving endpoint receives no new work'
    GRACEFUL = 'a graceful shutdown cuts off no request in flight'
    CONFIG_UPWARDS = 'an accepted configuration never reverts'
    FAIR_SHARE = 'no partner crowds out another'
    FENCING = 'a holder paused past its lease does no harm'


class Monitor:
    """Counts checks and violations of invariants.

    :param is_strict: whether a violation is raised after it is logged.
    """

    def __init__(self, is_strict: bool = False) -> None:
        self.is_strict = is_strict
        self.checked: collections.Counter[Invariant] = collections.Counter()
        self.violated: collections.Counter[Invariant] = collections.Counter()

    def check(
        self,
        invariant: Invariant,
        is_satisfied: bool,
        describe: typing.Callable[[], str],
    ) -> None:
        """Record one check of an invariant.

        :param invariant: the invariant.
        :param is_satisfied: whether it holds.
        :param describe: function that returns the details of a violation.
        :raises errors.InvariantError: on a violation, in a strict monitor.
        """
        self.checked[invariant] += 1
        if is_satisfied:
            return
        self.violated[invariant] += 1
        detail = f'{invariant.value}: {describe()}'
        logger.error('INVARIANT broken. {}', detail)
        if self.is_strict:
            raise errors.InvariantError(
                errors.ErrorCode.INVARIANT_BROKEN, detail
            )
