"""Outgoing datagrams of an agent."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oleanderweir.flows import caller_host
from oleanderweir.flows import describe_flow
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import DeliveryPurpose
    from oleanderweir.peering.messages import Message
    from oleanderweir.peering.messages import ReturnReason
    from oleanderweir_agent.forwarding.packet_agent_settings import PacketAgentSettings


logger = logging.getLogger(__name__)


class AgentTransport:
    """Sends datagrams to the backend server, to callers and to peers."""

    def __init__(
        self,
        *,
        settings: PacketAgentSettings,
        peer_socket: UdpSocket,
        backend_socket: UdpSocket,
    ) -> None:
        self.settings = settings
        self.peer_socket = peer_socket
        self.backend_socket = backend_socket
        self.backend_sockaddr = settings.backend_address.sockaddr

    def forward_to_backend(self, data: bytes) -> None:
        """Forward a caller's packet to the backend server."""
        self.backend_socket.send_to(data, self.backend_sockaddr)

    def forward_to_caller(self, key: FlowKey, data: bytes) -> None:
        """Forward a packet of the backend server to the caller of a flow."""
        caller = (caller_host(key), self.settings.caller_port)
        self.backend_socket.send_to(data, caller)

    def reset_flow(self, key: FlowKey, data: bytes, *, reason: str) -> None:
        """Send ``data``, a reset packet, to the caller of a flow; log the reason."""
        self.forward_to_caller(key, data)
        logger.info(
            "flow reset",
            extra={
                "code": "flow_reset",
                "flow": describe_flow(key),
                "reason": reason,
            },
        )

    def send(self, host: str, message: Message) -> None:
        """Send a message to a peer: a balancer or another agent."""
        self.peer_socket.send_to(
            encode_message(message), (host, self.settings.peer_port)
        )

    def send_owner_notice(self, host: str, key: FlowKey, **inputs: object) -> None:
        """Notify a peer that the backend server holds a flow; log the inputs."""
        self.send(host, OwnerNotice(key=key))
        logger.info(
            "flow claimed",
            extra={
                "code": "flow_claimed",
                "flow": describe_flow(key),
                "balancer": host,
                **inputs,
            },
        )

    def deliver(self, host: str, data: bytes, *, purpose: DeliveryPurpose) -> None:
        """Send a caller's packet to another agent in a ``Delivery``."""
        self.send(host, Delivery(purpose=purpose, version=0, data=data))

    def return_packet(
        self,
        host: str,
        key: FlowKey,
        data: bytes,
        reason: ReturnReason,
        *,
        is_port_used: bool = False,
        **inputs: object,
    ) -> None:
        """Return an unserved packet to its balancer; log the reason and the inputs."""
        message = ReturnedPacket(reason=reason, data=data, is_port_used=is_port_used)
        self.send(host, message)
        logger.info(
            "packet returned to the balancer",
            extra={
                "code": "packet_given_back",
                "reason_code": reason.name,
                "flow": describe_flow(key),
                "balancer": host,
                "is_port_used": is_port_used,
                **inputs,
            },
        )
