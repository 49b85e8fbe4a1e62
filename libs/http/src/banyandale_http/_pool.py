"""Pool of client connections to one server."""

import collections
import time

from banyandale_http import _client as client

# An idle connection this old is replaced; the other side may have closed it.
MAX_IDLE_SECONDS = 30.0
# A request that must not run twice goes only on a connection that carried a
# complete response this recently; an older one may be silent.
VERIFIED_SECONDS = 1.0


class Pool:
    """Keeps connections to one server for reuse, the newest first."""

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
            limit: Most idle connections that are kept.
            source: Local IP number, or None for the system's choice.
            keepalive: Whether the kernel probes idle connections.
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
        self, *, deadline: float, verified: bool = False
    ) -> client.ClientConnection:
        """Takes an idle connection or opens one.

        Args:
            deadline: Monotonic seconds for opening.
            verified: Take only a connection that was verified within the last
                second, else a fresh one.

        Raises:
            ConnectError: No connection could be opened.
        """
        now = time.monotonic()
        oldest = now - (VERIFIED_SECONDS if verified else MAX_IDLE_SECONDS)
        while self._idle:
            connection = self._idle.pop()
            reusable = connection.is_reusable
            if reusable and connection.last_verified_at >= oldest:
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
        """Puts a connection back, or closes it when it cannot be reused."""
        self._in_use -= 1
        room = len(self._idle) < self._limit and not self._retired
        if connection.is_reusable and room:
            self._idle.append(connection)
        else:
            await connection.close()

    def pop_connection_lost(self) -> bool:
        """Whether an idle connection was found closed since the last call.

        A server that restarted has closed all its connections.
        """
        lost, self._connection_lost = self._connection_lost, False
        return lost

    async def clear(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def retire(self) -> None:
        """Closes all idle connections, and those in use once they are free."""
        self._retired = True
        await self.clear()
