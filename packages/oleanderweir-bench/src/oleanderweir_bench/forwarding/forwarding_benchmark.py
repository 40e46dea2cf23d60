"""Measures the processor time of forwarding in one process."""

from __future__ import annotations

import math
import random
import secrets
import socket
import time
from typing import TYPE_CHECKING

import attrs
import trio
from prometheus_client import CollectorRegistry

from oleanderweir.connection_id import ConnectionId
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.envelope import Envelope
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.keys import KeyPurpose
from oleanderweir.keys import KeyRing
from oleanderweir.net import SocketAddress
from oleanderweir.net import UdpSocket
from oleanderweir.net import pack_sockaddr
from oleanderweir_balancer.agent_selector import AgentSelector
from oleanderweir_balancer.flow_opener import FlowOpener
from oleanderweir_balancer.metrics import BalancerMetrics
from oleanderweir_balancer.service_listener import ServiceListener
from oleanderweir_bench.deployment.ports import find_free_port
from oleanderweir_bench.forwarding.bare_relay import BareRelay
from oleanderweir_bench.forwarding.forwarding_cost import ForwardingCost
from oleanderweir_bench.forwarding.one_server_configuration import (
    OneServerConfiguration,
)


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


HOST = "127.0.0.1"
PACKET_BYTES = 1200
BURST_PACKETS = 32
ROUNDS = 5
FLOOR_KIND = "bare relay, batched"
US_PER_S = 1_000_000
SECRET_BYTES = 32
SERVICE = SocketAddress(host="192.0.2.1", port=443)


def bind_socket() -> UdpSocket:
    """Return a socket bound to a free port."""
    return UdpSocket(bind_address=SocketAddress(host=HOST, port=find_free_port(HOST)))


@attrs.define(kw_only=True, eq=False)
class ForwardingBenchmark:
    """
    Sends bursts through the real balancer code and through bare relays.

    Sender, forwarder and sink run in one process; only the processor time of the
    forwarder is measured. ``packets`` is the approximate number of packets for each
    kind and round, because only whole bursts are sent.
    """

    packets: int
    front: UdpSocket = attrs.field(factory=bind_socket)
    back: UdpSocket = attrs.field(factory=bind_socket)
    sink: UdpSocket = attrs.field(factory=bind_socket)
    key_ring: KeyRing = attrs.field()

    agent_envelopes: EnvelopeCodec = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.agent_envelopes = self._make_codec(KeyPurpose.ENVELOPE_TO_BALANCER)

    @key_ring.default
    def _make_key_ring(self) -> KeyRing:
        return KeyRing.parse(f"1:{secrets.token_hex(SECRET_BYTES)}")

    async def run(self) -> list[ForwardingCost]:
        """
        Measure every kind of forwarding; the floor is the batched bare relay.

        Each of ``ROUNDS`` rounds measures every kind. The result is the minimum over
        the rounds, because other load on the machine can only add to the cost.
        """
        listener = self._make_listener()
        packet = self._make_packet(listener)
        relay = BareRelay(
            socket=self.front, destination=self.sink.bind_address.sockaddr
        )
        trio_socket = trio.socket.from_stdlib_socket(self.front.stdlib_socket)
        costs: dict[str, float] = {}
        for _ in range(ROUNDS):
            measured = {
                FLOOR_KIND: await self._measure(self.front, packet, relay.relay_batch),
                "bare relay, one by one": await self._measure(
                    self.front, packet, lambda: relay.relay_one(trio_socket)
                ),
                "balancer, established, to the agent": await self._measure(
                    self.front, packet, lambda: self._forward_to_agent(listener)
                ),
                "balancer, to the caller": await self._measure(
                    self.back,
                    self._encapsulate(packet),
                    lambda: self._forward_to_callers(listener),
                ),
                "balancer, first packet of a flow": await self._measure_new_flows(
                    listener
                ),
            }
            for name, cost in measured.items():
                costs[name] = min(cost, costs.get(name, math.inf))
        return [
            ForwardingCost(
                name=name, cpu_us_per_packet=cost, floor_us_per_packet=costs[FLOOR_KIND]
            )
            for name, cost in costs.items()
        ]

    async def _measure(
        self,
        ingress: UdpSocket,
        packet: bytes,
        forward: Callable[[], Awaitable[int]],
    ) -> float:
        """Return the cost of one kind of forwarding in microseconds per packet."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        spent_s = 0.0
        forwarded = 0
        with sender:
            while forwarded < self.packets:
                for _ in range(BURST_PACKETS):
                    sender.sendto(packet, ingress.bind_address.sockaddr)
                started_s = time.thread_time()
                forwarded_in_burst = 0
                while forwarded_in_burst < BURST_PACKETS:
                    forwarded_in_burst += await forward()
                spent_s += time.thread_time() - started_s
                forwarded += forwarded_in_burst
                self._empty_sink()
        return spent_s * US_PER_S / forwarded

    async def _measure_new_flows(self, listener: ServiceListener) -> float:
        """Return microseconds per opening packet, including the state for hedging."""
        spent_s = 0.0
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(self.packets // BURST_PACKETS):
                for index in range(BURST_PACKETS):
                    packet = make_initial_packet(number * BURST_PACKETS + index)
                    sender.sendto(packet, self.front.bind_address.sockaddr)
                started_s = time.thread_time()
                forwarded_in_burst = 0
                while forwarded_in_burst < BURST_PACKETS:
                    forwarded_in_burst += await self._forward_to_agent(listener)
                spent_s += time.thread_time() - started_s
                listener.opener.pending.clear()
                self._empty_sink()
        flows = self.packets // BURST_PACKETS * BURST_PACKETS
        return spent_s * US_PER_S / flows

    async def _forward_to_agent(self, listener: ServiceListener) -> int:
        """Route the available packets as the task of the balancer does."""
        batch = await self.front.receive_batch()
        listener.route_batch(batch)
        return len(batch)

    async def _forward_to_callers(self, listener: ServiceListener) -> int:
        """Forward the available packets to callers as the task of the balancer does."""
        batch = await self.back.receive_batch()
        for datagram in batch:
            listener.send_to_caller(self.agent_envelopes.decode(datagram.data))
        return len(batch)

    def _empty_sink(self) -> None:
        """Discard all received packets, so that the socket buffer never overflows."""
        while True:
            try:
                self.sink.stdlib_socket.recv(PACKET_BYTES * 2)
            except BlockingIOError:
                return

    def _make_listener(self) -> ServiceListener:
        metrics = BalancerMetrics(registry=CollectorRegistry())
        selector = AgentSelector(
            configuration=OneServerConfiguration(
                agent_address=self.sink.bind_address, service_address=SERVICE
            ),
            random_source=random.Random(1),
        )
        return ServiceListener(
            service_name="horaflujo",
            service_address=SERVICE,
            socket=self.front,
            back_socket=self.back,
            connection_ids=ConnectionIdCodec(key_ring=self.key_ring),
            envelopes=self._make_codec(KeyPurpose.ENVELOPE_TO_AGENT),
            selector=selector,
            opener=FlowOpener(
                selector=selector,
                send=self._send_to_agent,
                metrics=metrics,
            ),
            metrics=metrics,
        )

    def _send_to_agent(self, data: bytes, agent: SocketAddress) -> None:
        self.back.send_to(data, agent.sockaddr)

    def _make_codec(self, purpose: KeyPurpose) -> EnvelopeCodec:
        return EnvelopeCodec(key_ring=self.key_ring, purpose=purpose)

    def _make_packet(self, listener: ServiceListener) -> bytes:
        """Return a packet of an established flow with the sink as its agent."""
        codec = listener.connection_ids
        connection_id = ConnectionId(
            agent=self.sink.bind_address.packed,
            incarnation=1,
            service_tag=codec.issuing_service_tag(SERVICE.packed),
            nonce=1,
        )
        return (b"\x40" + codec.encode(connection_id)).ljust(PACKET_BYTES, b"\0")

    def _encapsulate(self, packet: bytes) -> bytes:
        """Return an envelope with a packet to the sink, as an agent sends it."""
        envelope = Envelope(
            service=SERVICE.packed,
            caller=pack_sockaddr(self.sink.bind_address.sockaddr),
            datagram=packet,
        )
        return self.agent_envelopes.encode(envelope)


def make_initial_packet(number: int) -> bytes:
    """Return the opening packet of a new flow."""
    connection_id = number.to_bytes(8, "big")
    header = b"\xc0\0\0\0\x01\x08" + connection_id + b"\x08" + connection_id
    return header.ljust(PACKET_BYTES, b"\0")
