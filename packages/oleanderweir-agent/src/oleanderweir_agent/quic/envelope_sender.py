"""Sends packets to callers in envelopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.envelope import Envelope
from oleanderweir.net import pack_sockaddr
from oleanderweir.net import unpack_sockaddr
from oleanderweir_agent.drop_reason import DropReason


if TYPE_CHECKING:
    from oleanderweir.envelope import EnvelopeCodec
    from oleanderweir.net import UdpSocket
    from oleanderweir_agent.metrics import AgentMetrics


class EnvelopeSender:
    """Sends each packet to a balancer in an envelope that names its caller."""

    def __init__(
        self, *, socket: UdpSocket, codec: EnvelopeCodec, metrics: AgentMetrics
    ) -> None:
        self.socket = socket
        self.codec = codec
        self.metrics = metrics

    def send(
        self,
        *,
        data: bytes,
        caller: tuple[str, int],
        service: bytes,
        balancer: tuple[str, int],
    ) -> None:
        """Send a packet of a service to a caller through a balancer."""
        envelope = Envelope(
            service=service, caller=pack_sockaddr(caller), datagram=data
        )
        if not self.socket.send_to(self.codec.encode(envelope), balancer):
            self.metrics.count_drop(DropReason.SEND_FAILED)

    def send_reply(
        self, data: bytes, envelope: Envelope, balancer: tuple[str, int]
    ) -> None:
        """Send a packet outside any connection to the caller of an envelope."""
        self.send(
            data=data,
            caller=unpack_sockaddr(envelope.caller),
            service=envelope.service,
            balancer=balancer,
        )
