"""Pool of client connections to one server."""

import collections
import time

from banyandale_http import _client as client

# A connection that was idle for longer is replaced, since the server may have
# closed it.
MAX_IDLE_SECONDS = 30.0
# A request that must not run twice is sent only on a connection that was
# opened or carried a complete response this recently. An older one may be
# unresponsive.
VERIFIED_MAX_AGE_SECONDS = 1.0


class Pool:
    """Pool of connections to one server; reuses the newest first."""

    def __init__(
        self,
        *,
        address: str,
        limit: int,
        source: str | None = None,
        keepalive: bool = False,
    ) -> None:
        """Creates an empty pool.

        Args:
            address: The server as `ip:port`.
            limit: Maximum number of idle connections.
            source: Local IP address, or None for the system's choice.
            keepalive: Whether the kernel sends TCP keep-alive probes.
        """
        self._address = address
        self._limit = limit
        self._source = source
        self._keepalive = keepalive
        self._idle: collections.deque[client.ClientConnection] = (
            collections.deque()
        )
        self._connection_lost = False
        self._retired = False
        self._in_use = 0

    async def acquire(
        self, *, deadline: float, verified: bool = False, key: str = ""
    ) -> client.ClientConnection:
        """Returns an idle connection or opens a new one.

        Args:
            deadline: Monotonic seconds by which a new connection must be open.
            verified: Whether to reuse only a connection that was verified
                within the last second.
            key: Key of the next exchange. Connections that have carried an
                exchange with the same key stay in the pool.

        Raises:
            ConnectError: No connection could be opened.
        """
        now = time.monotonic()
        not_before = now - (
            VERIFIED_MAX_AGE_SECONDS if verified else MAX_IDLE_SECONDS
        )
        # Number of the newest connections that have carried the key.
        kept = 0
        while len(self._idle) > kept:
            connection = self._idle[-1 - kept]
            if connection.has_carried(key):
                kept += 1
                continue
            del self._idle[-1 - kept]
            reusable = connection.is_reusable
            if reusable and connection.last_verified_at >= not_before:
                self._in_use += 1
                return connection
            self._connection_lost = self._connection_lost or not reusable
            await connection.close()
        connection = await client.ClientConnection.open(
            address=self._address,
            source=self._source,
            deadline=deadline,
            keepalive=self._keepalive,
        )
        self._in_use += 1
        return connection

    @property
    def is_connected(self) -> bool:
        """Whether a connection is idle or in use."""
        return self._in_use > 0 or bool(self._idle)

    async def discard(self, connection: client.ClientConnection) -> None:
        """Closes a connection, which cancels a request in flight."""
        self._in_use -= 1
        await connection.close()

    async def release(self, connection: client.ClientConnection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        self._in_use -= 1
        has_capacity = len(self._idle) < self._limit and not self._retired
        if connection.is_reusable and has_capacity:
            self._idle.append(connection)
        else:
            await connection.close()

    def pop_connection_lost(self) -> bool:
        """Whether an idle connection was found closed since the last call.

        This indicates a restart of the server, which closes all connections.
        """
        connection_lost, self._connection_lost = self._connection_lost, False
        return connection_lost

    async def clear(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def retire(self) -> None:
        """Closes idle connections now, and those in use when released."""
        self._retired = True
        await self.clear()
