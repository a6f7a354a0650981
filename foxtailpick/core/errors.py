"""Exceptions with stable codes.

A code never changes its meaning between releases: callers and operators
match on it. Codes are grouped by the part that raises them.
"""

import enum

from foxtailpick.core import verdict as verdict_lib


class ErrorCode(enum.Enum):
    """Stable error codes, `FTP-` and a group number."""

    # Settings: raised before any socket opens.
    SETTINGS_UNREADABLE = 'FTP-101'
    SETTINGS_SECTION_MISSING = 'FTP-102'
    SETTINGS_KEY_UNKNOWN = 'FTP-103'
    SETTINGS_KEY_MISSING = 'FTP-104'
    SETTINGS_VALUE_INVALID = 'FTP-105'
    SETTINGS_SECTION_UNKNOWN = 'FTP-106'

    # Requests of callers.
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

    # Configuration and patches.
    PATCH_MALFORMED = 'FTP-301'
    PATCH_INVALID = 'FTP-302'
    PATCH_OUTDATED = 'FTP-303'
    PATCH_OUTCOME_UNKNOWN = 'FTP-304'
    CONFIG_UNAVAILABLE = 'FTP-305'
    CONFIG_CORRUPT = 'FTP-306'

    # The platform's key-value service.
    STORE_UNAVAILABLE = 'FTP-401'
    STORE_OUTCOME_UNKNOWN = 'FTP-402'
    STORE_REFUSED = 'FTP-403'
    LEASE_LOST = 'FTP-404'
    STORE_HISTORY_LOST = 'FTP-405'

    # Between the system's own processes.
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

    # Refusals of the sidecar; nothing was run.
    DOMAIN_OUT_OF_SERVICE = 'FTP-601'
    ENDPOINT_DRAINING = 'FTP-602'
    ENDPOINT_COLD = 'FTP-603'
    LOAD_BOUND_EXCEEDED = 'FTP-604'
    ACCOUNT_OVER_SHARE = 'FTP-605'
    ORDER_FENCED = 'FTP-606'

    # Defects of the project itself.
    INVARIANT_BROKEN = 'FTP-901'


class FoxtailError(Exception):
    """Base of every error of the project.

    :param code: the stable code.
    :param message: what was expected, what came and what to do.
    :param verdict: whether the request concerned may have run.
    :param retry_after_ms: when another try may succeed, in milliseconds.
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
    """Settings that cannot be used."""


class RequestError(FoxtailError):
    """A request that got no answer."""


class RefusedError(FoxtailError):
    """An attempt that the sidecar refused; it was not run and never will."""


class ConfigError(FoxtailError):
    """A part of the configuration that is not at hand or does not fit."""


class PatchError(FoxtailError):
    """A configuration patch that was not accepted, or may not have been."""


class StoreError(FoxtailError):
    """The key-value service did not do what was asked, or may not have."""


class LinkError(FoxtailError):
    """A connection between two of the system's processes failed."""


class InvariantError(FoxtailError):
    """A promise of the project was found broken."""
