"""Opens the connections of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.buffer import Buffer
from aioquic.quic.packet import pull_quic_header

from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.net import unpack_sockaddr
from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.quic.caller_connection import CallerConnection
from oleanderweir_agent.quic.exceptions import InvalidRetryTokenError
from oleanderweir_agent.quic.return_path import ReturnPath
from oleanderweir_agent.quic.server_connection import ServerConnection


if TYPE_CHECKING:
    import trio
    from aioquic.quic.configuration import QuicConfiguration
    from aioquic.quic.packet import QuicHeader

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.configuration import Service
    from oleanderweir.envelope import Envelope
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
    from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer
    from oleanderweir_agent.quic.connection_table import ConnectionTable
    from oleanderweir_agent.quic.envelope_sender import EnvelopeSender
    from oleanderweir_agent.quic.retry_handshake import RetryHandshake
    from oleanderweir_agent.quic.retry_token import RetryToken
    from oleanderweir_agent.requests import RequestHandler


MAX_CONNECTIONS = 20_000


class ConnectionAcceptor:
    """
    Replies to the opening packets of flows, and opens their connections.

    The reply to an opening packet is a Retry, which creates no state. A connection is
    opened only for a packet that carries the token of a Retry.
    """

    def __init__(
        self,
        *,
        service_name: str,
        configuration: ConfigurationView,
        quic_configuration: QuicConfiguration,
        retry: RetryHandshake,
        issuer: ConnectionIdIssuer,
        table: ConnectionTable,
        balancers: BalancerRegistry,
        sender: EnvelopeSender,
        handler: RequestHandler,
        metrics: AgentMetrics,
    ) -> None:
        self.service_name = service_name
        self.configuration = configuration
        self.quic_configuration = quic_configuration
        self.retry = retry
        self.issuer = issuer
        self.table = table
        self.balancers = balancers
        self.sender = sender
        self.handler = handler
        self.metrics = metrics
        self.barrier = ErrorBarrier(place="quic_connection")

    def accept(
        self, envelope: Envelope, balancer: tuple[str, int], nursery: trio.Nursery
    ) -> None:
        """Reply to an Initial packet with a Retry, or open its connection."""
        service = self.configuration.service(self.service_name)
        if service is None or not self.configuration.is_ready:
            self.metrics.count_drop(DropReason.NOT_READY)
            return
        if service.address.packed != envelope.service:
            self.metrics.count_drop(DropReason.WRONG_SERVICE)
            return
        try:
            header = pull_quic_header(Buffer(data=envelope.datagram))
        except ValueError:
            self.metrics.count_drop(DropReason.INVALID_PACKET)
            return
        if not header.token:
            self._send_retry(header, envelope, balancer)
            return
        token = self._check_token(header, envelope)
        if token is not None:
            self._open(token, service, envelope, balancer, nursery)

    def _send_retry(
        self, header: QuicHeader, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Send the Retry that names the agent of a new flow."""
        self.metrics.retries_sent.inc()
        packet = self.retry.make_packet(header, envelope)
        self.sender.send_reply(packet, envelope, balancer)

    def _check_token(self, header: QuicHeader, envelope: Envelope) -> RetryToken | None:
        """Return the token of a packet that may open a connection, else ``None``."""
        try:
            token = self.retry.check_token(header, envelope)
        except InvalidRetryTokenError:
            self.metrics.count_drop(DropReason.INVALID_RETRY_TOKEN)
            return None
        if len(self.table.connections) >= MAX_CONNECTIONS:
            self.metrics.count_drop(DropReason.TOO_MANY_CONNECTIONS)
            return None
        return token

    def _open(
        self,
        token: RetryToken,
        service: Service,
        envelope: Envelope,
        balancer: tuple[str, int],
        nursery: trio.Nursery,
    ) -> None:
        """Create a connection and start its task."""
        connection = self._make_connection(token, service, envelope, balancer)
        connection_id = token.retry_source_connection_id
        self.table.add_connection_id(connection_id, connection)
        self.table.add_connection_id(connection.quic.host_cid, connection)
        connection.deliver(envelope.datagram, unpack_sockaddr(envelope.caller))
        # Added before its task runs, so that ``MAX_CONNECTIONS`` also applies to later
        # packets of the same batch.
        self.table.add(connection)
        self.metrics.sessions.inc()
        nursery.start_soon(self._run, connection)

    def _make_connection(
        self,
        token: RetryToken,
        service: Service,
        envelope: Envelope,
        balancer: tuple[str, int],
    ) -> CallerConnection:
        """Return the connection of a caller that returned a valid token."""
        quic = ServerConnection(
            configuration=self.quic_configuration,
            original_destination_connection_id=token.original_destination_connection_id,
            retry_source_connection_id=token.retry_source_connection_id,
            issuer=self.issuer,
            service=envelope.service,
        )
        return CallerConnection(
            quic=quic,
            service=service,
            return_path=ReturnPath(registry=self.balancers, balancer=balancer),
            table=self.table,
            sender=self.sender,
            handler=self.handler,
        )

    async def _run(self, connection: CallerConnection) -> None:
        """Run one connection, and remove it from the table afterwards."""
        try:
            with self.barrier:
                await connection.run()
        finally:
            self.table.remove(connection)
            self.metrics.sessions.dec()
