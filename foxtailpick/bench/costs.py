"""What a call costs: processor time and traced memory."""

import time
import tracemalloc
import typing

BYTES_A_KB = 1_000
MICROS_A_SECOND = 1e6


def time_us(call: typing.Callable[[int], object], rounds: int) -> float:
    """Return the mean processor time of a call, in microseconds.

    :param call: what is measured; it gets the number of the round.
    :param rounds: how often it is called.
    """
    began_s = time.process_time()
    for number in range(rounds):
        call(number)
    return (time.process_time() - began_s) / rounds * MICROS_A_SECOND


def read_traced_kb() -> float:
    """Return the memory that is allocated now, as traced."""
    return tracemalloc.get_traced_memory()[0] / BYTES_A_KB
