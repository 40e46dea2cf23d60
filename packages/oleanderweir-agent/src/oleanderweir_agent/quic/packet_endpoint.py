"""Receives enveloped packets from balancers and routes them to connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from aioquic.quic.packet import encode_quic_version_negotiation

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import InvalidConnectionIdError
from oleanderweir.envelope import InvalidEnvelopeError
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.net import unpack_sockaddr
from oleanderweir.packets import InvalidPacketError
from oleanderweir.packets import LongHeader
from oleanderweir.packets import has_long_header
from oleanderweir_agent.drop_reason import DropReason
from oleanderweir_agent.quic.balancer_registry import BalancerRegistry
from oleanderweir_agent.quic.connection_acceptor import ConnectionAcceptor
from oleanderweir_agent.quic.connection_table import ConnectionTable
from oleanderweir_agent.quic.envelope_sender import EnvelopeSender
from oleanderweir_agent.quic.retry_handshake import RetryHandshake


if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.envelope import Envelope
    from oleanderweir.envelope import EnvelopeCodec
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.quic.agent_choice import AgentChooser
    from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer
    from oleanderweir_agent.quic.retry_token_codec import RetryTokenCodec
    from oleanderweir_agent.requests import RequestHandler


SHORT_HEADER_ID_START = 1
SHORT_HEADER_ID_END = SHORT_HEADER_ID_START + CONNECTION_ID_LENGTH_BYTES


class PacketEndpoint:
    """
    Receives the packets of one agent and delivers each to its connection.

    An Initial packet without a connection goes to the acceptor, which may open one.
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
        self.quic_configuration = quic_configuration
        self.inbound_codec = inbound_codec
        self.issuer = issuer
        self.metrics = metrics
        self.table = ConnectionTable()
        self.barrier = ErrorBarrier(place="quic_datagram")
        self.balancers = BalancerRegistry()
        self.sender = EnvelopeSender(
            socket=socket, codec=outbound_codec, metrics=metrics
        )
        self.acceptor = ConnectionAcceptor(
            service_name=service_name,
            configuration=configuration,
            quic_configuration=quic_configuration,
            retry=RetryHandshake(
                version=quic_configuration.supported_versions[0],
                token_codec=token_codec,
                issuer=issuer,
                chooser=chooser,
            ),
            issuer=issuer,
            table=self.table,
            balancers=self.balancers,
            sender=self.sender,
            handler=handler,
            metrics=metrics,
        )

    async def run(self) -> None:
        """Receive packets until cancelled; each connection runs in its own task."""
        async with trio.open_nursery() as nursery:
            while True:
                for datagram in await self.socket.receive_batch():
                    with self.barrier:
                        self._receive_datagram(datagram, nursery)

    def _receive_datagram(self, datagram: Datagram, nursery: trio.Nursery) -> None:
        """Decode one envelope and route its packet."""
        try:
            envelope = self.inbound_codec.decode(datagram.data)
        except InvalidEnvelopeError:
            self.metrics.count_drop(DropReason.INVALID_ENVELOPE)
            return
        self.balancers.record(datagram.source)
        packet = envelope.datagram
        if has_long_header(packet):
            self._route_long_header(envelope, datagram.source, nursery)
        else:
            connection_id = packet[SHORT_HEADER_ID_START:SHORT_HEADER_ID_END]
            self._deliver(connection_id, envelope, datagram.source)

    def _route_long_header(
        self, envelope: Envelope, balancer: tuple[str, int], nursery: trio.Nursery
    ) -> None:
        """Route a packet that can belong to a flow without a connection."""
        try:
            header = LongHeader.parse(envelope.datagram)
        except InvalidPacketError:
            self.metrics.count_drop(DropReason.INVALID_PACKET)
            return
        connection_id = header.destination_connection_id
        if connection_id in self.table.by_connection_id:
            self._deliver(connection_id, envelope, balancer)
        elif header.version not in self.quic_configuration.supported_versions:
            self._negotiate_version(header, envelope, balancer)
        elif header.is_initial:
            self.acceptor.accept(envelope, balancer, nursery)
        else:
            self._drop_unknown(connection_id)

    def _deliver(
        self, connection_id: bytes, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Deliver a packet to its connection if the service matches."""
        connection = self.table.by_connection_id.get(connection_id)
        if connection is None:
            self._drop_unknown(connection_id)
            return
        if connection.service_address != envelope.service:
            self.metrics.count_drop(DropReason.WRONG_SERVICE)
            return
        connection.return_path.on_packet_received(balancer)
        connection.deliver(envelope.datagram, unpack_sockaddr(envelope.caller))

    def _negotiate_version(
        self, header: LongHeader, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Send the supported versions, unless the packet is a Version Negotiation."""
        if header.version == 0:
            self.metrics.count_drop(DropReason.INVALID_PACKET)
            return
        packet = encode_quic_version_negotiation(
            source_cid=header.destination_connection_id,
            destination_cid=header.source_connection_id,
            supported_versions=self.quic_configuration.supported_versions,
        )
        self.sender.send_reply(packet, envelope, balancer)

    def _drop_unknown(self, connection_id: bytes) -> None:
        """Drop a packet whose connection is not held by this incarnation."""
        try:
            route = self.issuer.codec.decode(connection_id)
        except InvalidConnectionIdError:
            self.metrics.count_drop(DropReason.UNKNOWN_CONNECTION)
            return
        if route.incarnation != self.issuer.incarnation:
            self.metrics.count_drop(DropReason.STALE_INCARNATION)
        else:
            self.metrics.count_drop(DropReason.UNKNOWN_CONNECTION)
