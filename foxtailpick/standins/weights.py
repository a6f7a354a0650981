"""Stand-in for the rate-limited store of model weights.

Engines read it when they are ordered to load a model or adapter; sidecars
only have to schedule these orders within its limit.
"""

from foxtailpick.core import clock


class WeightsBusyError(Exception):
    """The store is at its limit of concurrent loads and rejects the load."""


class WeightStoreState:
    """Loads in progress and counters of the store.

    :param limit: maximum number of concurrent loads.
    :param load_ms: duration of each load, in milliseconds.
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

        :param load_ms: duration of the load, by default that of the store.
        :raises WeightsBusyError: if the limit is reached.
        """
        if self.loading >= self.limit:
            self.refused += 1
            raise WeightsBusyError(
                f'the weight store is at its limit of {self.limit} loads'
            )
        self.loading += 1
        self.peak_loading = max(self.peak_loading, self.loading)
        try:
            await clock.sleep_ms(self.load_ms if load_ms is None else load_ms)
        finally:
            self.loading -= 1
        self.served += 1
