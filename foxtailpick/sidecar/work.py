"""What a router asks an endpoint to do, chats and calls alike."""

from foxtailpick.core import messages

# A plain call has no tokens; each counts as one.
CALL_TOKENS = 1.0

Work = messages.OpenChat | messages.OpenCall


def needs_claim(work: Work) -> bool:
    """Tell whether an attempt runs under a claim in the store.

    :param work: the attempt's own message.
    """
    return isinstance(work, messages.OpenCall) and not work.is_idempotent


def get_cost(work: Work) -> float:
    """Return the cost of an attempt in tokens, prompt and answer.

    :param work: the attempt's own message.
    """
    if isinstance(work, messages.OpenCall):
        return CALL_TOKENS
    return float(work.prompt_tokens + work.max_tokens - work.resume_from)
