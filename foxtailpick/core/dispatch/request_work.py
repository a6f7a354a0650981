"""Estimates the work that a request is for an endpoint.

Load pattern: prompts of 800 and of 12,000 tokens, and answers of two and of
40 events, come to the same endpoints. Counted as one each, a few long prompts
fill an endpoint that seems to have room. Stated lengths tell how requests
compare; how long they take is learned from answers, by route. A few endpoints
that are slow at the moment must not change what is usual.
"""

import dataclasses
import math

# Cost of an output token relative to a prompt token, as the operators
# define it.
OUTPUT_TOKEN_WEIGHT = 10.0
# Weight of the newest sample in what is usual.
SAMPLE_WEIGHT = 0.05
# The first samples count alike, so that one unusual sample is soon made up
# for. Later ones count as at most this multiple, and at least this part, of
# what is usual.
FIRST_SAMPLES = 10
MAX_SAMPLE_FACTOR = 2.0
# Samples from which on an estimate is used.
MIN_SAMPLES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The work of one request.

    :param cost: processing, in prompt tokens.
    :param memory_tokens: tokens that it occupies at most in the memory of an
        engine.
    :param prompt_tokens: tokens of its prompt.
    """

    cost: float
    memory_tokens: int
    prompt_tokens: int = 0


def estimate_work(prompt_tokens: int, output_tokens: int) -> Work:
    """Return the work of a request by what its caller states.

    :param prompt_tokens: length of its prompt, 0 if unknown.
    :param output_tokens: maximum length of its answer, 0 if unknown.
    """
    prompt = max(0, prompt_tokens)
    output = max(0, output_tokens)
    cost = 1.0 + prompt + OUTPUT_TOKEN_WEIGHT * output
    return Work(cost, prompt + output, prompt)


@dataclasses.dataclass(slots=True)
class UsualValue:
    """Usual value of something that is measured, and its mean error.

    :param value: the usual value, None before the first sample.
    :param error: mean difference of samples from it.
    :param samples: number of samples.
    """

    value: float | None = None
    error: float = 0.0
    samples: int = 0

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples."""
        return self.samples >= MIN_SAMPLES

    def observe(self, sample: float) -> None:
        """Add a sample.

        :param sample: the measured value, above 0.
        """
        self.samples += 1
        if self.value is None:
            self.value = sample
            return
        weight = 1 / self.samples
        if self.samples > FIRST_SAMPLES:
            weight = SAMPLE_WEIGHT
            low = self.value / MAX_SAMPLE_FACTOR
            high = self.value * MAX_SAMPLE_FACTOR
            sample = min(max(sample, low), high)
        self.error += weight * (abs(sample - self.value) - self.error)
        # The mean of logarithms: times are skewed to the right.
        self.value *= math.exp(weight * math.log(sample / self.value))
