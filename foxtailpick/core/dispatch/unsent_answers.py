"""Decides which answers are given up when too many wait to be read.

Load pattern: clients ask for long answers and read them slowly or not at all.
An answer is kept whole until its caller has read it. Those that have waited
longest are given up; ordinary callers read theirs at once.
"""

import typing

# Limit of all answers that wait, well above the longest answer and well below
# the memory of the smallest machines.
MAX_WAITING_BYTES = 33_554_432


class UnsentAnswers:
    """Answers that wait to be read by their callers, the oldest first."""

    def __init__(self) -> None:
        self._sizes: dict[typing.Hashable, int] = {}
        self._total_bytes = 0

    def add(self, answer: typing.Hashable, size: int) -> list[typing.Any]:
        """Note that an answer waits; return those that are given up.

        :param answer: the answer, which is never given up for itself.
        :param size: its length in bytes.
        """
        given_up = []
        while self._sizes and self._total_bytes + size > MAX_WAITING_BYTES:
            oldest = next(iter(self._sizes))
            self.discard(oldest)
            given_up.append(oldest)
        self._sizes[answer] = size
        self._total_bytes += size
        return given_up

    def discard(self, answer: typing.Hashable) -> None:
        """Note that an answer doesn't wait any more.

        :param answer: the answer, which may have been given up.
        """
        self._total_bytes -= self._sizes.pop(answer, 0)
