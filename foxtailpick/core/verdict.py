"""The verdict: whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Knowledge about the execution of a request.

    Only the component that would have run the request may report `NOT_RUN`,
    and it never runs that attempt afterwards.
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
    """Tell whether a retry is safe for the request.

    It is safe if no attempt has run, or if a second run changes nothing.

    :param verdict: merged verdict of all attempts so far.
    :param is_idempotent: whether running it twice equals running it once.
    """
    return verdict is Verdict.NOT_RUN or is_idempotent
