"""Measurement of processor time and traced memory."""

import time
import tracemalloc
import typing

BYTES_PER_KB = 1_000
MICROSECONDS_PER_SECOND = 1e6


def time_us(call: typing.Callable[[int], object], rounds: int) -> float:
    """Return the mean processor time of a call, in microseconds.

    :param call: function to measure, called with the round number.
    :param rounds: number of calls.
    """
    start_s = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - start_s) / rounds * MICROSECONDS_PER_SECOND


def read_traced_kb() -> float:
    """Return the memory currently allocated according to tracemalloc."""
    return tracemalloc.get_traced_memory()[0] / BYTES_PER_KB
