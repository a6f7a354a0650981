"""Pool of keep-alive connections to endpoints."""

import typing

import trio

from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core.dispatch import model
from foxtailpick.core import types
from foxtailpick.gateway import client as client_lib

# Longer than two round trips and an accept, shorter than a retransmission:
# after a lost packet, another endpoint is tried instead.
CONNECT_TIMEOUT_MS = 250.0
# An idle connection is no longer reused this long before the endpoint's idle
# timeout closes it.
KEEP_ALIVE_MARGIN_MS = 1_000.0
# Idle limit if the endpoint announces no idle timeout, which is then less
# than 1 s.
DEFAULT_IDLE_MS = 400.0
# Upper bound of the idle limit: connections that were idle for longer are
# more often half-open.
MAX_IDLE_MS = 8_000.0


class Pool:
    """Idle connections by endpoint; a context manager that closes them.

    :param now_ms: function that returns the current time.
    """

    def __init__(self, now_ms: typing.Callable[[], float]) -> None:
        self._now_ms = now_ms
        self._idle: dict[
            model.EndpointIncarnation,
            list[client_lib.ClientConnection],
        ] = {}
        self.opened = 0
        # Connections that are open, idle or not.
        self.count = 0

    def __enter__(self) -> 'Pool':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        self._idle.clear()

    async def acquire(
        self, endpoint: endpoint_table.Endpoint
    ) -> client_lib.ClientConnection:
        """Return an idle or a new connection to an endpoint.

        :raises OSError: if none can be opened; nothing has been sent.
        """
        conns = self._idle.get(endpoint.entry.incarnation, [])
        while conns:
            conn = conns.pop()
            if self._is_fresh(conn) and conn.is_alive():
                return conn
            self._close(conn, endpoint)
        return await self.open(endpoint)

    def has_idle(self, endpoint: endpoint_table.Endpoint) -> bool:
        """Tell whether there is an idle connection to an endpoint."""
        return bool(self._idle.get(endpoint.entry.incarnation))

    def close_idle(self, endpoint: endpoint_table.Endpoint) -> None:
        """Close the longest idle connection to an endpoint, if any."""
        conns = self._idle.get(endpoint.entry.incarnation)
        if conns:
            self._close(conns.pop(0), endpoint)

    def make_room(
        self, limit: int, table: endpoint_table.EndpointTable
    ) -> bool:
        """Close idle connections if there are too many to open another one.

        :param limit: limit of open connections.
        :param table: the endpoints.
        :returns: whether another one may be opened.
        """
        known = {item.entry.incarnation: item for item in table.list_all()}
        while self.count >= limit:
            key = min(
                (key for key, conns in self._idle.items() if conns),
                key=lambda key: self._idle[key][0].idle_since_ms,
                default=None,
            )
            if key is None:
                return False
            self._close(self._idle[key].pop(0), known.get(key))
        return True

    async def open(
        self, endpoint: endpoint_table.Endpoint
    ) -> client_lib.ClientConnection:
        """Return a new connection to an endpoint.

        :raises OSError: if none can be opened.
        """
        endpoint.connections += 1
        self.count += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_MS / types.SECOND_MS):
                conn = await client_lib.ClientConnection.connect(
                    endpoint.entry.address
                )
        except trio.TooSlowError as exc:
            self._discount(endpoint)
            raise TimeoutError('connect timed out') from exc
        except BaseException:
            self._discount(endpoint)
            raise
        self.opened += 1
        return conn

    def release(
        self,
        endpoint: endpoint_table.Endpoint,
        conn: client_lib.ClientConnection,
        is_reusable: bool,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not is_reusable or not conn.is_clean:
            self._close(conn, endpoint)
            return
        conn.idle_since_ms = self._now_ms()
        key = endpoint.entry.incarnation
        self._idle.setdefault(key, []).append(conn)

    def sweep(self, table: endpoint_table.EndpointTable) -> None:
        """Close connections that expired or whose endpoint is not listed."""
        known = {item.entry.incarnation: item for item in table.list_all()}
        for key, conns in list(self._idle.items()):
            endpoint = known.get(key)
            kept = []
            for conn in conns:
                if endpoint is not None and self._is_fresh(conn):
                    kept.append(conn)
                    continue
                self._close(conn, endpoint)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def _close(
        self,
        conn: client_lib.ClientConnection,
        endpoint: endpoint_table.Endpoint | None,
    ) -> None:
        conn.close()
        self._discount(endpoint)

    def _discount(self, endpoint: endpoint_table.Endpoint | None) -> None:
        self.count -= 1
        if endpoint is not None:
            endpoint.connections -= 1

    def _is_fresh(self, conn: client_lib.ClientConnection) -> bool:
        longest_ms = DEFAULT_IDLE_MS
        if conn.keep_alive_ms is not None:
            longest_ms = min(
                conn.keep_alive_ms - KEEP_ALIVE_MARGIN_MS, MAX_IDLE_MS
            )
        return self._now_ms() - conn.idle_since_ms < longest_ms
