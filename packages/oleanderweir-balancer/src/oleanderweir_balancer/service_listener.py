"""Receives the packets of callers on one service address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import InvalidConnectionIdError
from oleanderweir.envelope import Envelope
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.net import SocketAddress
from oleanderweir.net import pack_sockaddr
from oleanderweir.net import unpack_sockaddr
from oleanderweir.packets import InvalidPacketError
from oleanderweir.packets import LongHeader
from oleanderweir.packets import has_long_header
from oleanderweir_balancer.drop_reason import DropReason
from oleanderweir_balancer.pending_flow import PendingFlowKey


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.connection_id import ConnectionId
    from oleanderweir.connection_id import ConnectionIdCodec
    from oleanderweir.envelope import EnvelopeCodec
    from oleanderweir.net import Datagram
    from oleanderweir.net import UdpSocket
    from oleanderweir_balancer.agent_selector import AgentSelector
    from oleanderweir_balancer.flow_opener import FlowOpener
    from oleanderweir_balancer.metrics import BalancerMetrics


SHORT_HEADER_ID_START = 1
SHORT_HEADER_ID_END = SHORT_HEADER_ID_START + CONNECTION_ID_LENGTH_BYTES
MIN_INITIAL_BYTES = 1200


class ServiceListener:
    """
    Routes the packets of one service address.

    An established packet is routed by its connection ID alone, so it needs neither
    flow state nor configuration. The first packet of a flow goes to an agent of the
    service.
    """

    def __init__(
        self,
        *,
        service_name: str,
        service_address: SocketAddress,
        socket: UdpSocket,
        back_socket: UdpSocket,
        connection_ids: ConnectionIdCodec,
        envelopes: EnvelopeCodec,
        selector: AgentSelector,
        opener: FlowOpener,
        metrics: BalancerMetrics,
    ) -> None:
        self.service_name: str | None = service_name
        self.service = service_address.packed
        self.socket = socket
        self.back_socket = back_socket
        self.connection_ids = connection_ids
        self.envelopes = envelopes
        self.selector = selector
        self.opener = opener
        self.metrics = metrics
        self.barrier = ErrorBarrier(place="caller_datagram")
        self.forwarded = 0
        self.service_tags = frozenset(
            connection_ids.service_tags(self.service).values()
        )

    async def run(self) -> None:
        """Route packets until cancelled."""
        while True:
            self.route_batch(await self.socket.receive_batch())

    def route_batch(self, batch: Sequence[Datagram]) -> None:
        """Route packets, and add the forwarded ones to the counter in one call."""
        for datagram in batch:
            with self.barrier:
                self.route(datagram)
        self.metrics.forwarded_to_agent.inc(self.forwarded)
        self.forwarded = 0

    def route(self, datagram: Datagram) -> None:
        """Forward one packet of a caller, or drop it and count the drop."""
        data = datagram.data
        if has_long_header(data):
            self._route_long(datagram)
            return
        encoded_id = data[SHORT_HEADER_ID_START:SHORT_HEADER_ID_END]
        try:
            connection_id = self.connection_ids.decode(encoded_id)
        except InvalidConnectionIdError:
            self._drop(DropReason.UNKNOWN_CONNECTION_ID)
            return
        self._forward_established(datagram, connection_id)

    def send_to_caller(self, envelope: Envelope) -> None:
        """Send an agent's packet to its caller from the service address."""
        if not self.socket.send_to(envelope.datagram, unpack_sockaddr(envelope.caller)):
            self._drop(DropReason.SEND_FAILED)
            return
        self.metrics.forwarded_to_caller.inc()
        if has_long_header(envelope.datagram):
            self._record_answer(envelope)

    def _route_long(self, datagram: Datagram) -> None:
        """Route a packet of a handshake."""
        try:
            header = LongHeader.parse(datagram.data)
        except InvalidPacketError:
            self._drop(DropReason.INVALID_PACKET)
            return
        try:
            connection_id = self.connection_ids.decode(header.destination_connection_id)
        except InvalidConnectionIdError:
            self._open(datagram, header, None)
            return
        if not header.is_initial:
            self._forward_established(datagram, connection_id)
        elif self._check_service(connection_id):
            addressed_agent = SocketAddress.unpack(connection_id.agent)
            self._open(datagram, header, addressed_agent)

    def _open(
        self,
        datagram: Datagram,
        header: LongHeader,
        addressed_agent: SocketAddress | None,
    ) -> None:
        """Send a flow's first packet to the agent in its ID, or to a selected one."""
        if not header.is_initial and header.version == 1:
            self._drop(DropReason.UNKNOWN_CONNECTION_ID)
            return
        if len(datagram.data) < MIN_INITIAL_BYTES:
            self._drop(DropReason.INITIAL_TOO_SHORT)
            return
        if self.service_name is None:
            self._drop(DropReason.SERVICE_REMOVED)
            return
        agent = addressed_agent or self.selector.select(self.service_name)
        if agent is None:
            self._drop(DropReason.NO_BACKEND_SERVER)
            return
        caller = pack_sockaddr(datagram.source)
        self.opener.open(
            key=PendingFlowKey(
                caller=caller, source_connection_id=header.source_connection_id
            ),
            service=self.service_name,
            agent=agent,
            encoded_envelope=self._encode_envelope(datagram),
        )

    def _forward_established(
        self, datagram: Datagram, connection_id: ConnectionId
    ) -> None:
        """Forward a packet to the agent in its connection ID."""
        if not self._check_service(connection_id):
            return
        if self.back_socket.send_to(
            self._encode_envelope(datagram), unpack_sockaddr(connection_id.agent)
        ):
            self.forwarded += 1
        else:
            self._drop(DropReason.SEND_FAILED)

    def _check_service(self, connection_id: ConnectionId) -> bool:
        """Whether a connection ID belongs to this service; counts a drop if not."""
        if connection_id.service_tag in self.service_tags:
            return True
        self._drop(DropReason.WRONG_SERVICE)
        return False

    def _encode_envelope(self, datagram: Datagram) -> bytes:
        """Return the encoded envelope of a caller's packet."""
        return self.envelopes.encode(
            Envelope(
                service=self.service,
                caller=pack_sockaddr(datagram.source),
                datagram=datagram.data,
            )
        )

    def _record_answer(self, envelope: Envelope) -> None:
        """Notify the opener that an agent answered a flow."""
        try:
            header = LongHeader.parse(envelope.datagram)
        except InvalidPacketError:
            return
        self.opener.on_answer(
            PendingFlowKey(
                caller=envelope.caller,
                source_connection_id=header.destination_connection_id,
            )
        )

    def _drop(self, reason: DropReason) -> None:
        self.metrics.dropped[reason].inc()
