"""Receives enveloped packets from balancers and routes them to connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from aioquic.buffer import Buffer
from aioquic.quic.packet import encode_quic_version_negotiation
from aioquic.quic.packet import pull_quic_header

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import InvalidConnectionIdError
from oleanderweir.envelope import Envelope
from oleanderweir.envelope import InvalidEnvelopeError
from oleanderweir.net import pack_sockaddr
from oleanderweir.net import unpack_sockaddr
from oleanderweir.packets import InvalidPacketError
from oleanderweir.packets import LongHeader
from oleanderweir.packets import has_long_header
from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
from oleanderweir_agent.quic.caller_connection import CallerConnection
from oleanderweir_agent.quic.exceptions import InvalidRetryTokenError
from oleanderweir_agent.quic.retry_handshake import RetryHandshake
from oleanderweir_agent.quic.return_path import ReturnPath
from oleanderweir_agent.quic.server_connection import ServerConnection


if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.configuration import Service
    from oleanderweir.envelope import EnvelopeCodec
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.quic.agent_choice import AgentChooser
    from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer
    from oleanderweir_agent.quic.retry_token import RetryToken
    from oleanderweir_agent.quic.retry_token_codec import RetryTokenCodec
    from oleanderweir_agent.requests import RequestHandler


MAX_CONNECTIONS = 20_000
POLL_INTERVAL_S = 0.02
SHORT_HEADER_ID_START = 1
SHORT_HEADER_ID_END = SHORT_HEADER_ID_START + CONNECTION_ID_LENGTH_BYTES


class PacketEndpoint:
    """
    Holds the connections of one agent.

    The endpoint replies to the opening packet of a flow with a Retry, whose connection
    ID names the agent that serves the flow. State is created only for a packet that
    carries the token of the Retry.
    """

    def __init__(
        self,
        *,
        socket: UdpSocket,
        service_name: str,
        configuration: ConfigurationView,
        quic_configuration: QuicConfiguration,
        inbound_codec: EnvelopeCodec,
        outbound_codec: EnvelopeCodec,
        token_codec: RetryTokenCodec,
        issuer: ConnectionIdIssuer,
        chooser: AgentChooser,
        handler: RequestHandler,
        metrics: AgentMetrics,
    ) -> None:
        self.socket = socket
        self.service_name = service_name
        self.configuration = configuration
        self.quic_configuration = quic_configuration
        self.inbound_codec = inbound_codec
        self.outbound_codec = outbound_codec
        self.retry = RetryHandshake(
            version=quic_configuration.supported_versions[0],
            token_codec=token_codec,
            issuer=issuer,
            chooser=chooser,
        )
        self.issuer = issuer
        self.handler = handler
        self.metrics = metrics
        self.balancers = BalancerRegistry()
        self.by_connection_id: dict[bytes, CallerConnection] = {}
        self.connections: set[CallerConnection] = set()

    async def run(self) -> None:
        """Receive packets until cancelled; each connection runs in its own task."""
        async with trio.open_nursery() as nursery:
            while True:
                for datagram in await self.socket.receive_batch():
                    self._receive_datagram(datagram, nursery)

    def send_goaway(self) -> None:
        """Ask every caller to continue on another connection."""
        for connection in self.connections:
            connection.send_goaway()

    async def wait_requests_completed(self) -> None:
        """Wait until no request of a caller is in flight, locally or at a peer."""
        while any(connection.requests for connection in self.connections):
            await trio.sleep(POLL_INTERVAL_S)

    async def wait_acknowledged(self) -> None:
        """Wait until the callers have acknowledged all stream data."""
        while not all(
            connection.quic.is_fully_acknowledged for connection in self.connections
        ):
            await trio.sleep(POLL_INTERVAL_S)

    def close_connections(self, *, reason: str) -> None:
        """Close every connection gracefully."""
        for connection in self.connections:
            connection.close(reason=reason)

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

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        """Send a packet to a caller through a balancer."""
        envelope = Envelope(
            service=service, caller=pack_sockaddr(caller), datagram=data
        )
        if not self.socket.send_to(self.outbound_codec.encode(envelope), balancer):
            self._drop(DropReason.SEND_FAILED)

    def _receive_datagram(self, datagram: Datagram, nursery: trio.Nursery) -> None:
        """Decode one envelope and route its packet."""
        try:
            envelope = self.inbound_codec.decode(datagram.data)
        except InvalidEnvelopeError:
            self._drop(DropReason.INVALID_ENVELOPE)
            return
        self.balancers.record(datagram.source)
        packet = envelope.datagram
        if not has_long_header(packet):
            connection_id = packet[SHORT_HEADER_ID_START:SHORT_HEADER_ID_END]
            self._deliver(connection_id, envelope, datagram.source)
            return
        try:
            header = LongHeader.parse(packet)
        except InvalidPacketError:
            self._drop(DropReason.INVALID_PACKET)
            return
        if header.destination_connection_id in self.by_connection_id:
            self._deliver(header.destination_connection_id, envelope, datagram.source)
        elif header.version not in self.quic_configuration.supported_versions:
            self._negotiate_version(header, envelope, datagram.source)
        elif header.is_initial:
            self._on_initial(envelope, datagram.source, nursery)
        else:
            self._drop_unknown(header.destination_connection_id)

    def _deliver(
        self, connection_id: bytes, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Deliver a packet to its connection if the service matches."""
        connection = self.by_connection_id.get(connection_id)
        if connection is None:
            self._drop_unknown(connection_id)
            return
        if connection.service_address != envelope.service:
            self._drop(DropReason.WRONG_SERVICE)
            return
        connection.return_path.on_packet_received(balancer)
        connection.deliver(envelope.datagram, unpack_sockaddr(envelope.caller))

    def _on_initial(
        self, envelope: Envelope, balancer: tuple[str, int], nursery: trio.Nursery
    ) -> None:
        """Reply to an Initial packet with a Retry, or open its connection."""
        service = self.configuration.service(self.service_name)
        if service is None or not self.configuration.is_ready:
            self._drop(DropReason.NOT_READY)
            return
        if service.address.packed != envelope.service:
            self._drop(DropReason.WRONG_SERVICE)
            return
        try:
            header = pull_quic_header(Buffer(data=envelope.datagram))
        except ValueError:
            self._drop(DropReason.INVALID_PACKET)
            return
        if not header.token:
            self.metrics.retries_sent.inc()
            self._send_stateless(
                self.retry.make_packet(header, envelope), envelope, balancer
            )
            return
        try:
            token = self.retry.check_token(header, envelope)
        except InvalidRetryTokenError:
            self._drop(DropReason.INVALID_RETRY_TOKEN)
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            self._drop(DropReason.TOO_MANY_CONNECTIONS)
            return
        self._start_connection(token, service, envelope, balancer, nursery)

    def _start_connection(
        self,
        token: RetryToken,
        service: Service,
        envelope: Envelope,
        balancer: tuple[str, int],
        nursery: trio.Nursery,
    ) -> None:
        """Create a connection and start its task."""
        quic = ServerConnection(
            configuration=self.quic_configuration,
            original_destination_connection_id=token.original_destination_connection_id,
            retry_source_connection_id=token.retry_source_connection_id,
            issuer=self.issuer,
            service=envelope.service,
        )
        connection = CallerConnection(
            quic=quic,
            service=service,
            return_path=ReturnPath(registry=self.balancers, balancer=balancer),
            transport=self,
            handler=self.handler,
        )
        self.add_connection_id(token.retry_source_connection_id, connection)
        self.add_connection_id(quic.host_cid, connection)
        connection.deliver(envelope.datagram, unpack_sockaddr(envelope.caller))
        # Added before its task runs, so that ``MAX_CONNECTIONS`` also applies to later
        # packets of the same batch.
        self.connections.add(connection)
        self.metrics.sessions.inc()
        nursery.start_soon(self._run_connection, connection)

    async def _run_connection(self, connection: CallerConnection) -> None:
        """Run one connection, and remove its connection IDs afterwards."""
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)
            self.metrics.sessions.dec()
            self._remove_connection_ids(connection)

    def _remove_connection_ids(self, connection: CallerConnection) -> None:
        """Remove every connection ID of a connection."""
        for connection_id in connection.connection_ids:
            self.by_connection_id.pop(connection_id, None)
        connection.connection_ids.clear()

    def _negotiate_version(
        self, header: LongHeader, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Send the supported versions, unless the packet is a Version Negotiation."""
        if header.version == 0:
            self._drop(DropReason.INVALID_PACKET)
            return
        packet = encode_quic_version_negotiation(
            source_cid=header.destination_connection_id,
            destination_cid=header.source_connection_id,
            supported_versions=self.quic_configuration.supported_versions,
        )
        self._send_stateless(packet, envelope, balancer)

    def _send_stateless(
        self, packet: bytes, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Send a packet outside any connection."""
        self.send(
            data=packet,
            caller=unpack_sockaddr(envelope.caller),
            service=envelope.service,
            balancer=balancer,
        )

    def _drop_unknown(self, connection_id: bytes) -> None:
        """Drop a packet whose connection is not held by this incarnation."""
        try:
            route = self.issuer.codec.decode(connection_id)
        except InvalidConnectionIdError:
            self._drop(DropReason.UNKNOWN_CONNECTION)
            return
        if route.incarnation != self.issuer.incarnation:
            self._drop(DropReason.STALE_INCARNATION)
        else:
            self._drop(DropReason.UNKNOWN_CONNECTION)

    def _drop(self, reason: DropReason) -> None:
        self.metrics.dropped[reason].inc()
