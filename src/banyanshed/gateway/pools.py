"""Pools of idle connections to backend servers."""

import collections
from collections.abc import Awaitable, Callable

from banyanshed.gateway import clients
from banyanshed.gateway import memory
from banyanshed.steering import models

# Timeout in seconds for opening a connection to a backend server.
CONNECT_TIMEOUT_S = 0.6
# Used for servers that send no Keep-Alive timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
# A connection this close to its idle limit is not used for an idempotent
# request: the server may close it while the request is sent.
IDLE_MARGIN_S = 1.5


class ConnectionPools:
    """Idle connections by backend server.

    Times are in seconds of the event loop's clock.

    Attributes:
        connect: Opens a connection to an address within a timeout.
        on_connected: Called when a new connection is open.
    """

    def __init__(self, response_memory: memory.ResponseMemory):
        """Starts without connections.

        Args:
            response_memory: Limits what the responses of all connections may
                hold.
        """
        self.response_memory = response_memory
        self.connect: Callable[
            [models.Address, float, memory.ResponseMemory],
            Awaitable[clients.Connection],
        ] = clients.open_connection
        self.on_connected: Callable[[], None] = lambda: None
        self.idle: dict[
            models.ServerId, collections.deque[clients.Connection]
        ] = {}

    async def acquire(
        self, server: models.Registration, idempotent: bool, now: float
    ) -> clients.Connection:
        """Returns an idle connection or opens a new one.

        Args:
            server: Backend server to connect to.
            idempotent: Whether the request can be retried, so that it does
                no harm if the server closes the connection meanwhile.
            now: Current loop time.

        Raises:
            ConnectFailed: The connection could not be established.
        """
        idle_connections = self.idle.get(server.id)
        while idle_connections:
            connection = idle_connections.pop()
            if _is_reusable(connection, idempotent, now):
                return connection
            connection.abort()
        connection = await self.connect(
            server.address, CONNECT_TIMEOUT_S, self.response_memory
        )
        self.on_connected()
        return connection

    async def check(
        self, server: models.Registration, timeout_s: float
    ) -> None:
        """Connects to a server to find out whether it accepts connections.

        The connection is kept for a request.

        Raises:
            ConnectFailed: The connection could not be established.
        """
        connection = await self.connect(
            server.address, timeout_s, self.response_memory
        )
        self.release(server.id, connection)

    def release(
        self, server: models.ServerId, connection: clients.Connection
    ) -> None:
        """Returns an open connection to its pool after the response."""
        if connection.is_open:
            idle_connections = self.idle.setdefault(server, collections.deque())
            idle_connections.append(connection)

    def drop(self, server: models.ServerId) -> None:
        """Closes the idle connections to a server."""
        for connection in self.idle.pop(server, ()):
            connection.abort()

    def drop_all(self) -> None:
        """Closes all idle connections."""
        for server in list(self.idle):
            self.drop(server)

    def close_expired(self, now: float) -> None:
        """Drops connections that were closed or idle for too long."""
        for server, idle_connections in list(self.idle.items()):
            while idle_connections and not _is_reusable(
                idle_connections[0], True, now
            ):
                idle_connections.popleft().abort()
            if not idle_connections:
                del self.idle[server]


def _is_reusable(
    connection: clients.Connection, idempotent: bool, now: float
) -> bool:
    if not connection.is_open:
        return False
    limit_s = connection.idle_limit_s
    if limit_s is None:
        limit_s = DEFAULT_IDLE_LIMIT_S
    usable_s = limit_s - IDLE_MARGIN_S if idempotent else limit_s / 2.0
    return now - connection.idle_since < usable_s
