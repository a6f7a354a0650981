"""Foxtailpick: a router fleet for multi-turn chats and service calls."""

from foxtailpick.core.clock import Clock
from foxtailpick.core.errors import ErrorCode
from foxtailpick.core.errors import FoxtailError
from foxtailpick.core.verdict import Verdict

__all__ = (
    # Time
    'Clock',
    # Outcomes
    'ErrorCode',
    'FoxtailError',
    'Verdict',
)

__version__ = '0.1.0'
