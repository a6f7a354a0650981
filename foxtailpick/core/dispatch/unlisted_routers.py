"""Bounds what is kept of routers that aren't listed.

Load pattern: datagrams with the form of reports come from anywhere, each
under another name. Reports of routers that have just started come before
these are listed, and are needed, but are few and small.
"""

from foxtailpick.core import types

# Limit of the messages that are kept, as sent: one of each kind and router.
# In memory they take many times as much.
MAX_KEPT_BYTES = 4_000_000
# What is kept of a message apart from its contents.
MESSAGE_OVERHEAD_BYTES = 1_024
# Names of routers are part of keys of the store, which are no longer.
MAX_NAME_CHARS = 200


class UnlistedRouters:
    """Messages that are kept of routers that aren't listed."""

    def __init__(self) -> None:
        self._sizes: dict[types.RouterId, dict[int, int]] = {}
        self._kept_bytes = 0

    def admit(self, router: types.RouterId, kind: int, size: int) -> bool:
        """Tell whether a message may be kept, and assume that it is.

        :param router: the router that it names.
        :param kind: its kind, of which the latest message is kept.
        :param size: its length in bytes.
        """
        size += MESSAGE_OVERHEAD_BYTES
        before = self._sizes.get(router, {}).get(kind, 0)
        if self._kept_bytes + max(0, size - before) > MAX_KEPT_BYTES:
            return False
        if size > before:
            self._sizes.setdefault(router, {})[kind] = size
            self._kept_bytes += size - before
        return True

    def record_listed(self, router: types.RouterId) -> None:
        """Note that a router is listed.

        :param router: the router.
        """
        sizes = self._sizes.pop(router, None)
        if sizes:
            self._kept_bytes -= sum(sizes.values())
