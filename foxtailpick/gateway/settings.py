"""Settings of a gateway process."""

import dataclasses
import math

from foxtailpick.core.dispatch import model
from foxtailpick.core import errors
from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Start-up settings of a gateway.

    :param name: its name, unique in the fleet.
    :param domain: its failure domain.
    :param listen: address for callers.
    :param readiness: address of the readiness check.
    :param metrics: address of the metrics.
    :param peers: UDP address for messages of other routers.
    :param store: address of the platform's store.
    :param min_lease_ms: shortest lease TTL that the store grants.
    :param change_bound_ms: shortest time in which a change in the store has
        to be in force.
    :param history_ms: how long the store keeps the history of changes.
    :param writes_per_s: write calls that the store accepts from all routers.
    :param grace_ms: time from SIGTERM to the end of the process.
    :param retry_ratio: retries allowed per request, for the whole fleet.
    :param retry_extra: burst of retries allowed beyond that, for the whole
        fleet.
    :param exposure_share: share of a service's requests that a version which
        turns out bad may get during its roll-out, from the whole fleet.
    :param exposure_slack: requests that it may get beyond that.
    :param rollback_ms: time in which a bad version has to be withdrawn.
    :param processor_share: CPU limit of the process, in cores.
    :param max_sockets: maximum number of open file descriptors.
    :param memory_mb: memory limit of the process, in megabytes.
    """

    name: types.RouterId
    domain: types.FailureDomainId
    listen: model.Address
    readiness: model.Address
    metrics: model.Address
    peers: model.Address
    store: model.Address
    min_lease_ms: float = 1_000.0
    change_bound_ms: float = 2_000.0
    history_ms: float = 20_000.0
    writes_per_s: float = 400.0
    grace_ms: float = 8_000.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_ms: float = 5_000.0
    processor_share: float = 1.0
    max_sockets: int = 4_096
    memory_mb: float = 300.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        numbers = (
            self.min_lease_ms,
            self.change_bound_ms,
            self.history_ms,
            self.writes_per_s,
            self.grace_ms,
            self.retry_ratio,
            self.retry_extra,
            self.exposure_share,
            self.exposure_slack,
            self.rollback_ms,
            self.processor_share,
            self.memory_mb,
        )
        if not all(map(math.isfinite, numbers)):
            raise self._make_error('finite numbers')
        if not 0 <= self.retry_ratio <= 1 or self.retry_extra < 0:
            raise self._make_error('a retry ratio of 0 to 1, extra >= 0')
        if not 0 <= self.exposure_share <= 1 or self.exposure_slack < 0:
            raise self._make_error('an exposure share of 0 to 1, slack >= 0')
        if self.rollback_ms <= 0:
            raise self._make_error('a time for a roll-back above 0 ms')
        if self.grace_ms <= 0 or self.min_lease_ms <= 0:
            raise self._make_error('grace and lease durations above 0')
        if self.change_bound_ms <= 0:
            raise self._make_error('a bound on changes above 0 ms')
        if self.history_ms <= 0:
            raise self._make_error('a history of the store above 0 ms')
        if self.writes_per_s <= 0:
            raise self._make_error('a rate of writes above 0')
        if self.processor_share <= 0 or self.max_sockets <= 0:
            raise self._make_error('processor and descriptor limits above 0')
        if self.memory_mb <= 0:
            raise self._make_error('a memory limit above 0')

    def _make_error(self, expected: str) -> errors.SettingsError:
        return errors.SettingsError(
            errors.ErrorCode.SETTINGS_VALUE_INVALID,
            f'expected {expected}, got {self}; correct the settings',
        )
