"""Sends the packets of a balancer and logs its decisions about flows."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.flows import caller_host
from oleanderweir.flows import describe_flow
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import OwnerNotice


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.net import UdpSocket
    from oleanderweir_balancer.forwarding.packet_balancer_settings import (
        PacketBalancerSettings,
    )
    from oleanderweir_balancer.forwarding.send_queue import SendQueue


logger = logging.getLogger(__name__)


class BalancerTransport:
    """Sends packets to agents and resets to callers."""

    def __init__(
        self,
        *,
        settings: PacketBalancerSettings,
        codec: PacketCodec,
        register: StateRegister,
        socket: UdpSocket,
        send_queue: SendQueue | None = None,
    ) -> None:
        self.settings = settings
        self.codec = codec
        self.register = register
        self.socket = socket
        self.send_queue = send_queue

    def deliver(
        self,
        host: str,
        packet: Packet,
        purpose: DeliveryPurpose,
        *,
        hosts: tuple[str, ...] = (),
    ) -> None:
        """Send a packet to an agent; ``hosts`` restricts a delegated lookup."""
        version = self.register.version
        if purpose is DeliveryPurpose.DELEGATED_LOOKUP:
            version = self.register.changed_revision(Topic.BACKEND_SERVERS)
        message = Delivery(
            purpose=purpose, version=version, data=packet.data, hosts=hosts
        )
        data = encode_message(message)
        queue = self.send_queue
        if queue is None or queue.offer(host, packet, data, now=trio.current_time()):
            self.socket.send_to(data, (host, self.settings.peer_port))

    def send_queued(self) -> None:
        """Send the queued packets that the link can take now."""
        if self.send_queue is None or not self.send_queue:
            return
        now = trio.current_time()
        for queued in self.send_queue.pop_late(now=now):
            self.log(
                "packet_dropped",
                queued.packet.key,
                waited_ms=round((now - queued.queued_at) * 1000),
                waiting=len(self.send_queue),
            )
        for queued in self.send_queue.pop_due(now=now):
            self.socket.send_to(queued.data, (queued.host, self.settings.peer_port))

    def send_reset(self, packet: Packet, *, reason: str) -> None:
        """Send the caller a reset for the flow of a packet."""
        sequence = 0 if packet.is_opening else packet.acknowledged
        data = self.codec.make_reset(packet.key, sequence=sequence)
        caller = (caller_host(packet.key), self.settings.caller_port)
        self.socket.send_to(data, caller)
        self.log("flow_reset", packet.key, reason=reason)

    def on_owner_found(self, key: FlowKey, host: str) -> None:
        """Do nothing: no other process waits for the owner of a flow."""

    def notify_delegate(self, delegate: str, key: FlowKey, host: str) -> None:
        """Notify a delegate of the agent that holds a flow, so that it stops asking."""
        message = OwnerNotice(key=key, host=host)
        self.socket.send_to(
            encode_message(message), (delegate, self.settings.peer_port)
        )

    def on_no_owner(self, packet: Packet) -> None:
        """Reset a flow that no backend server holds."""
        self.send_reset(packet, reason="flow_not_held")

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
        logger.info(
            code.replace("_", " "),
            extra={
                "code": code,
                "flow": describe_flow(key),
                "version": self.register.version,
                **inputs,
            },
        )
