"""Stand-in for the rate-limited store of model weights.

Engines read it when they are ordered to load; the project only has to
spread these orders within its limit.
"""

from foxtailpick.core import clock


class WeightsBusyError(Exception):
    """The store serves as many loads as it may; the load was refused."""


class WeightStoreState:
    """Loads under way, with what went wrong.

    :param limit: loads that it serves at once.
    :param load_ms: how long each load takes, in milliseconds.
    """

    def __init__(self, limit: int, load_ms: float) -> None:
        self.limit = limit
        self.load_ms = load_ms
        self.loading = 0
        self.peak_loading = 0
        self.served = 0
        self.refused = 0

    async def fetch(self, load_ms: float | None = None) -> None:
        """Serve one load.

        :param load_ms: how long it takes, by default as set.
        :raises WeightsBusyError: if the limit is reached.
        """
        if self.loading >= self.limit:
            self.refused += 1
            raise WeightsBusyError(
                f'the weight store serves {self.limit} loads already'
            )
        self.loading += 1
        self.peak_loading = max(self.peak_loading, self.loading)
        try:
            await clock.sleep_ms(self.load_ms if load_ms is None else load_ms)
        finally:
            self.loading -= 1
        self.served += 1
