"""Estimates the work that a request is for an endpoint.

Load pattern: prompts of 800 and of 12,000 tokens, and answers of two and of
40 events, come to the same endpoints. Counted as one each, a few long prompts
fill an endpoint that seems to have room.
"""

import dataclasses

# Cost of an output token relative to a prompt token, as the operators
# define it.
OUTPUT_TOKEN_WEIGHT = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The work of one request.

    :param cost: processing, in prompt tokens.
    :param memory_tokens: tokens that it occupies at most in the memory of an
        engine.
    """

    cost: float
    memory_tokens: int


def estimate_work(prompt_tokens: int, output_tokens: int) -> Work:
    """Return the work of a request by what its caller states.

    :param prompt_tokens: length of its prompt, 0 if unknown.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    """
    cost = 1.0 + prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens
    return Work(cost, prompt_tokens + output_tokens)
