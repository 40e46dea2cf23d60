"""The open connections of one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_agent.quic.caller_connection import CallerConnection


POLL_INTERVAL_S = 0.02


class ConnectionTable:
    """The open connections of one agent, by each of their connection IDs."""

    def __init__(self) -> None:
        self.connections: set[CallerConnection] = set()
        self.by_connection_id: dict[bytes, CallerConnection] = {}

    def add(self, connection: CallerConnection) -> None:
        """Add an open connection."""
        self.connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection with all of its connection IDs."""
        self.connections.discard(connection)
        for connection_id in connection.connection_ids:
            self.by_connection_id.pop(connection_id, None)
        connection.connection_ids.clear()

    def add_connection_id(
        self, connection_id: bytes, connection: CallerConnection
    ) -> None:
        """Deliver packets with this connection ID to the connection."""
        self.by_connection_id[connection_id] = connection
        connection.connection_ids.add(connection_id)

    def remove_connection_id(self, connection_id: bytes) -> None:
        """Stop delivering packets with this connection ID."""
        connection = self.by_connection_id.pop(connection_id, None)
        if connection is not None:
            connection.connection_ids.discard(connection_id)

    def send_goaway(self) -> None:
        """Ask every caller to continue on another connection."""
        for connection in self.connections:
            connection.send_goaway()

    async def wait_requests_completed(self) -> None:
        """Wait until no request of a caller is in flight, locally or at a peer."""
        while any(connection.streams.requests for connection in self.connections):
            await trio.sleep(POLL_INTERVAL_S)

    async def wait_acknowledged(self) -> None:
        """Wait until the callers have acknowledged all stream data."""
        while not all(
            connection.quic.is_fully_acknowledged for connection in self.connections
        ):
            await trio.sleep(POLL_INTERVAL_S)

    def close_all(self, *, reason: str) -> None:
        """Close every connection gracefully."""
        for connection in self.connections:
            connection.close(reason=reason)
