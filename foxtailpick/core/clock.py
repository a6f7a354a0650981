"""Clocks in milliseconds, monotonic unless stated otherwise."""

import dataclasses
import time
import typing

import trio

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """Source of the current time.

    :param read_ms: function that returns the current time in milliseconds.
    """

    read_ms: typing.Callable[[], float]

    @classmethod
    def from_trio(cls) -> 'Clock':
        """Return the clock of the running trio loop, real or simulated."""
        return cls(lambda: trio.current_time() * types.SECOND_MS)

    @classmethod
    def from_wall(cls) -> 'Clock':
        """Return the wall clock, milliseconds since the Unix epoch."""
        return cls(lambda: time.time() * types.SECOND_MS)

    def now(self) -> types.Millis:
        """Return the current time in milliseconds."""
        return types.Millis(self.read_ms())


class ManualClock:
    """Clock that is advanced by hand, for tests and benchmarks.

    :param start_ms: initial time in milliseconds.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now(self) -> types.Millis:
        """Return the current time in milliseconds."""
        return types.Millis(self._now_ms)

    def advance(self, delta_ms: float) -> None:
        """Advance the clock.

        :param delta_ms: milliseconds to add, not negative.
        :raises ValueError: if `delta_ms` is negative.
        """
        if delta_ms < 0:
            raise ValueError(
                f'expected a delta of at least 0 ms, got {delta_ms}; '
                f'create a new clock to start over'
            )
        self._now_ms += delta_ms


async def sleep_ms(delay_ms: float) -> None:
    """Sleep on the running trio loop.

    :param delay_ms: milliseconds to sleep; a negative delay counts as zero.
    """
    await trio.sleep(max(delay_ms, 0.0) / types.SECOND_MS)
