"""Messages that open an attempt: chats and plain calls."""

from foxtailpick.core import messages

# A plain call has no tokens; it counts as one.
CALL_TOKENS = 1.0

Work = messages.OpenChat | messages.OpenCall


def needs_claim(work: Work) -> bool:
    """Return whether an attempt needs a claim in the store.

    :param work: the message that opened the attempt.
    """
    return isinstance(work, messages.OpenCall) and not work.is_idempotent


def get_cost(work: Work) -> float:
    """Return the cost of an attempt in tokens of prompt and answer.

    :param work: the message that opened the attempt.
    """
    if isinstance(work, messages.OpenCall):
        return CALL_TOKENS
    return float(work.prompt_tokens + work.max_tokens - work.resume_from)
