"""The verdict: whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    Only the party that would have run the request may say `NOT_RUN`, and
    after saying so it never runs that attempt.
    """

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


def merge_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts of the same request.

    :param first: verdict of one attempt.
    :param second: verdict of the other attempt.
    :returns: `RAN` if either ran, `NOT_RUN` only if neither did.
    """
    verdicts = {first, second}
    if Verdict.RAN in verdicts:
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in verdicts:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def is_retry_safe(verdict: Verdict, is_idempotent: bool) -> bool:
    """Tell whether another attempt cannot run the request a second time.

    :param verdict: the verdict of all attempts so far.
    :param is_idempotent: whether running twice equals running once.
    """
    return verdict is Verdict.NOT_RUN or is_idempotent
