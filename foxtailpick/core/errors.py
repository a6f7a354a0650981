"""Exceptions with stable codes.

A code keeps its meaning across releases: callers and operators match on
it. Codes are grouped by the component that raises them.
"""

import enum

from foxtailpick.core import verdict as verdict_lib


class ErrorCode(enum.Enum):
    """Stable error codes: `FTP-` and a number; its hundreds give the group."""

    # Settings, raised before any socket is opened.
    SETTINGS_UNREADABLE = 'FTP-101'
    SETTINGS_SECTION_MISSING = 'FTP-102'
    SETTINGS_KEY_UNKNOWN = 'FTP-103'
    SETTINGS_KEY_MISSING = 'FTP-104'
    SETTINGS_VALUE_INVALID = 'FTP-105'
    SETTINGS_SECTION_UNKNOWN = 'FTP-106'

    # Caller requests.
    REQUEST_MALFORMED = 'FTP-201'
    ACCOUNT_UNKNOWN = 'FTP-202'
    MODEL_UNKNOWN = 'FTP-203'
    SERVICE_UNKNOWN = 'FTP-204'
    NO_ENDPOINT = 'FTP-205'
    OVERLOADED = 'FTP-206'
    DEADLINE_EXCEEDED = 'FTP-207'
    OUTCOME_UNKNOWN = 'FTP-208'
    KEY_REUSED = 'FTP-209'
    CALL_IN_PROGRESS = 'FTP-210'
    RETRY_BUDGET_EXHAUSTED = 'FTP-211'
    SHUTTING_DOWN = 'FTP-212'
    ENDPOINT_FAILED = 'FTP-213'
    CANCELLED = 'FTP-214'
    ANSWER_NOT_KEPT = 'FTP-215'
    ROUTE_UNKNOWN = 'FTP-216'
    ENDPOINT_HEADER_INVALID = 'FTP-217'
    PROMPT_QUARANTINED = 'FTP-218'
    REQUEST_TOO_LARGE = 'FTP-220'
    STREAM_UNKNOWN = 'FTP-221'
    NO_REQUEST_MEMORY = 'FTP-222'

    # Configuration and patches.
    PATCH_MALFORMED = 'FTP-301'
    PATCH_INVALID = 'FTP-302'
    PATCH_OUTDATED = 'FTP-303'
    PATCH_OUTCOME_UNKNOWN = 'FTP-304'
    CONFIG_UNAVAILABLE = 'FTP-305'
    CONFIG_CORRUPT = 'FTP-306'
    ROLLOUT_INVALID = 'FTP-307'

    # Key-value store of the platform.
    STORE_UNAVAILABLE = 'FTP-401'
    STORE_OUTCOME_UNKNOWN = 'FTP-402'
    STORE_REFUSED = 'FTP-403'
    LEASE_LOST = 'FTP-404'
    STORE_HISTORY_LOST = 'FTP-405'
    STORE_RESTORED = 'FTP-406'

    # Links between the system's processes.
    FRAME_MALFORMED = 'FTP-501'
    FRAME_TOO_LARGE = 'FTP-502'
    FRAME_TYPE_UNKNOWN = 'FTP-503'
    PROTOCOL_VERSION = 'FTP-504'
    LINK_LOST = 'FTP-505'
    ATTEMPT_CLOSED = 'FTP-506'
    WRONG_INCARNATION = 'FTP-507'
    CONFIG_OUTDATED = 'FTP-508'
    STREAM_GAP = 'FTP-509'
    CHUNK_FOREIGN = 'FTP-510'

    # Refusals by the sidecar; the request was not run.
    DOMAIN_OUT_OF_SERVICE = 'FTP-601'
    ENDPOINT_DRAINING = 'FTP-602'
    ENDPOINT_COLD = 'FTP-603'
    LOAD_BOUND_EXCEEDED = 'FTP-604'
    ACCOUNT_OVER_SHARE = 'FTP-605'
    ORDER_FENCED = 'FTP-606'

    # Internal defects.
    INVARIANT_BROKEN = 'FTP-901'


class FoxtailError(Exception):
    """Base class of all errors of this package.

    :param code: stable error code.
    :param message: what was expected, what was found and what to do.
    :param verdict: whether the request concerned may have run.
    :param retry_after_ms: delay until a retry may succeed, in milliseconds.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        verdict: verdict_lib.Verdict = verdict_lib.Verdict.NOT_RUN,
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(f'{code.value}: {message}')
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms


class SettingsError(FoxtailError):
    """Settings are unreadable or invalid."""


class RequestError(FoxtailError):
    """A request failed without an answer."""


class RefusedError(FoxtailError):
    """The sidecar refused an attempt; it has not run and never will."""


class ConfigError(FoxtailError):
    """A part of the configuration is unavailable or inconsistent."""


class PatchError(FoxtailError):
    """A configuration patch was rejected, or its outcome is unknown."""


class StoreError(FoxtailError):
    """A key-value store operation failed, or its outcome is unknown."""


class LinkError(FoxtailError):
    """A link between two of the system's processes failed."""


class InvariantError(FoxtailError):
    """An invariant was violated."""
