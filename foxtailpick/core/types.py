"""Identifiers, units and states shared by all modules.

Durations and timestamps are floats in milliseconds unless a name gives
another unit.
"""

import enum
import typing

AccountId = typing.NewType('AccountId', str)
AttemptId = typing.NewType('AttemptId', str)
ChatId = typing.NewType('ChatId', str)
ConfigNumber = typing.NewType('ConfigNumber', int)
EndpointId = typing.NewType('EndpointId', str)
Era = typing.NewType('Era', int)
FailureDomainId = typing.NewType('FailureDomainId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
Incarnation = typing.NewType('Incarnation', str)
LeaseId = typing.NewType('LeaseId', int)
Millis = typing.NewType('Millis', float)
ModelId = typing.NewType('ModelId', str)
OperatorId = typing.NewType('OperatorId', str)
PartId = typing.NewType('PartId', str)
PartnerId = typing.NewType('PartnerId', str)
PatchId = typing.NewType('PatchId', str)
RegionId = typing.NewType('RegionId', str)
RequestId = typing.NewType('RequestId', str)
Revision = typing.NewType('Revision', int)
RolloutId = typing.NewType('RolloutId', str)
RouterId = typing.NewType('RouterId', str)
ServiceId = typing.NewType('ServiceId', str)
Version = typing.NewType('Version', str)

SECOND_MS = 1_000.0
MINUTE_MS = 60_000.0


class EndpointKind(enum.Enum):
    """Type of server behind an endpoint."""

    MODEL = 'model'
    PLAIN = 'plain'


class Priority(enum.IntEnum):
    """Scheduling class of a request; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class DomainState(enum.Enum):
    """Whether a failure domain may receive new work."""

    IN_SERVICE = 'in-service'
    OUT_OF_SERVICE = 'out-of-service'


class EndpointState(enum.Enum):
    """Life cycle state of an endpoint, as reported by its sidecar."""

    STARTING = 'starting'
    WARMING = 'warming'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'
