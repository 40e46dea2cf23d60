"""An emulated backend server that responds to packets."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.packet_path.packet_header import PacketHeader


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir_bench.packet_path.endpoint_codec import EndpointCodec
    from oleanderweir_bench.packet_path.network import Network
    from oleanderweir_bench.packet_path.site_result import SiteResult


RESPONSE_BYTES = 600
# Distance between initial sequence numbers; exceeds the length of a flow, so that an
# acknowledgement shows which initial sequence number it belongs to.
SEQUENCE_SPACING = 1 << 20
# Distance between the ``sequence_offset`` of backend servers, so that they also differ
# if they draw the same initial sequence number.
OFFSET_SPACING = 100_000


@attrs.define(kw_only=True, eq=False)
class ServedFlow:
    """
    State of one flow.

    ``initial_sequence`` is the backend server's own first sequence number,
    ``caller_sequence`` the caller's, and ``received_up_to`` the caller's next expected
    one, ``early`` the packets after it, by sequence number. ``is_open`` is set once the
    caller has acknowledged the opening, ``is_answered`` while no received request
    awaits its response.
    """

    initial_sequence: int
    received_up_to: int = 0
    caller_sequence: int = 0
    is_open: bool = False
    is_answered: bool = True
    early: dict[int, Packet] = attrs.field(factory=dict)

    def receive(self, packet: Packet) -> bool:
        """Record new payload; return whether it completes a request."""
        self.is_answered = False
        self.early[max(packet.sequence, self.received_up_to)] = packet
        completes = False
        while (arrived := self.early.pop(self.received_up_to, None)) is not None:
            self.received_up_to = arrived.sequence + arrived.payload_bytes
            completes = not arrived.is_full
        return completes


class EmulatedBackendServer:
    """
    Runs up to ``slots`` requests concurrently and queues the others in FIFO order.

    A full packet announces another one of its request, which runs once all of them have
    arrived; until then, each is acknowledged.

    Packets of flows that the server does not hold are returned to its agent. On a flow
    that has ended, a final packet is acknowledged and data is reset. The answer to an
    opening packet takes a time drawn from ``opening_delays_s``.
    """

    def __init__(
        self,
        *,
        service: str,
        host: str,
        port: int,
        agent: tuple[str, int],
        slots: int,
        mean_service_time_s: float,
        network: Network,
        codec: EndpointCodec,
        result: SiteResult,
        random_source: random.Random,
        on_opening: Callable[[Packet], None] = lambda _: None,
        on_flow_packet: Callable[[Packet], None] = lambda _: None,
    ) -> None:
        self.on_opening = on_opening
        self.on_flow_packet = on_flow_packet
        self.opening_delays_s: tuple[float, ...] = (0.0,)
        self.on_repeated_run: Callable[[FlowKey], None] = lambda _: None
        # Distinguishes the answers of backend servers that get the same opening packet.
        self.sequence_offset = 0
        self.service = service
        self.host = host
        self.port = port
        self.agent = agent
        self.slots = slots
        self.mean_service_time_s = mean_service_time_s
        self.network = network
        self.codec = codec
        self.result = result
        self.random_source = random_source
        self.flows: dict[FlowKey, ServedFlow] = {}
        self.ended: dict[FlowKey, ServedFlow] = {}
        # Requests by their flow and their end.
        self.waiting: deque[tuple[FlowKey, int]] = deque()
        self.busy = 0
        self.started_requests: set[tuple[FlowKey, int]] = set()
        self.incarnation = 0
        # While draining, a response also closes its flow.
        self.is_draining = False
        self.start()

    def start(self) -> None:
        """Start or restart, without flows."""
        self.incarnation += 1
        self.is_draining = False
        self.flows = {}
        self.ended = {}
        self.waiting.clear()
        self.busy = 0
        self.network.listen((self.host, self.port), self.on_datagram)

    def stop(self) -> None:
        """Crash: stop receiving packets and lose all flows."""
        self.network.stop_listening((self.host, self.port))
        self.flows = {}

    def holds_flow(self, key: FlowKey) -> bool:
        """Whether a flow is open: the caller has acknowledged its opening."""
        flow = self.flows.get(key)
        return flow is not None and flow.is_open

    def on_datagram(self, source: str, data: bytes) -> None:
        """Receive a datagram from the agent."""
        del source
        packet = self.codec.decode_from_caller(data)
        if packet is None:
            return
        self.result.altered += not self.codec.is_intact(packet)
        if packet.is_opening:
            self.on_opening(packet)
            self._open_flow(packet)
            return
        self.on_flow_packet(packet)
        if packet.key in self.ended:
            self._on_packet_of_ended_flow(self.ended[packet.key], packet)
            return
        flow = self.flows.get(packet.key)
        if flow is None or not self._acknowledges_opening(flow, packet):
            self._return_packet(packet)
            return
        flow.is_open = True
        if packet.is_reset:
            del self.flows[packet.key]
        elif packet.is_final:
            flow.received_up_to = packet.sequence + 1
            self.ended[packet.key] = self.flows.pop(packet.key)
            self._send(packet.key, flow, is_final=True)
        elif packet.payload_bytes:
            self._on_payload(flow, packet)

    def _open_flow(self, packet: Packet) -> None:
        flow = self.flows.get(packet.key)
        ended = self.ended.get(packet.key)
        if flow is None and ended is not None and self._is_copy(ended, packet):
            return
        if flow is None or not self._is_copy(flow, packet):
            if flow is not None and flow.is_open:
                return
            # An opening packet that is no copy belongs to a new flow of the port.
            self.ended.pop(packet.key, None)
            sequence = self.random_source.randrange(1, 1 << 11) * SEQUENCE_SPACING
            flow = ServedFlow(
                initial_sequence=sequence + self.sequence_offset,
                received_up_to=packet.sequence + 1,
                caller_sequence=packet.sequence,
            )
            self.flows[packet.key] = flow
        delay_s = self.random_source.choice(self.opening_delays_s)
        if delay_s:
            self.network.start_soon(self._answer_late, packet.key, flow, delay_s)
        else:
            self._send(packet.key, flow, is_opening=True)

    def _is_copy(self, flow: ServedFlow, packet: Packet) -> bool:
        """Whether an opening packet is a copy of the one that opened a flow."""
        return packet.sequence == flow.caller_sequence

    async def _answer_late(
        self, key: FlowKey, flow: ServedFlow, delay_s: float
    ) -> None:
        await trio.sleep(delay_s)
        if self.flows.get(key) is flow:
            self._send(key, flow, is_opening=True)

    def _on_packet_of_ended_flow(self, flow: ServedFlow, packet: Packet) -> None:
        if packet.is_final or packet.payload_bytes:
            self._send(packet.key, flow, is_reset=bool(packet.payload_bytes))

    def _acknowledges_opening(self, flow: ServedFlow, packet: Packet) -> bool:
        """Whether a caller's packet acknowledges the current opening."""
        return 0 <= packet.acknowledged - flow.initial_sequence < OFFSET_SPACING

    def _on_payload(self, flow: ServedFlow, packet: Packet) -> None:
        end = packet.sequence + packet.payload_bytes
        if end <= flow.received_up_to:
            # A retransmission: acknowledge it, and resend the response if it is ready.
            response = RESPONSE_BYTES if flow.is_answered else 0
            self._send(packet.key, flow, payload_bytes=response)
            return
        if not flow.receive(packet):
            self._send(packet.key, flow)
            return
        self.waiting.append((packet.key, flow.received_up_to))
        self._start_next()

    def _start_next(self) -> None:
        while self.waiting and self.busy < self.slots:
            key, end = self.waiting.popleft()
            self.busy += 1
            self.network.start_soon(self._run, key, end, self.incarnation)

    async def _run(self, key: FlowKey, end: int, incarnation: int) -> None:
        flow = self.flows.get(key)
        if flow is not None:
            request = (key, end)
            if request in self.started_requests:
                self.result.repeated_runs += 1
                self.on_repeated_run(key)
            self.started_requests.add(request)
        await trio.sleep(
            self.mean_service_time_s * self.random_source.uniform(0.6, 1.4)
        )
        if incarnation != self.incarnation:
            return
        self.busy -= 1
        if flow is not None and self.flows.get(key) is flow:
            flow.is_answered = True
            self._send(
                key, flow, payload_bytes=RESPONSE_BYTES, is_final=self.is_draining
            )
        self._start_next()

    def _send(
        self,
        key: FlowKey,
        flow: ServedFlow,
        *,
        is_opening: bool = False,
        is_final: bool = False,
        is_reset: bool = False,
        payload_bytes: int = 0,
    ) -> None:
        data = self.codec.encode(
            key,
            PacketHeader(
                is_opening=is_opening,
                is_acknowledging=True,
                is_final=is_final,
                is_reset=is_reset,
                sequence=flow.initial_sequence,
                acknowledged=flow.received_up_to,
                payload_bytes=payload_bytes,
            ),
            is_from_caller=False,
        )
        self.network.send(self.host, data, self.agent)

    def _return_packet(self, packet: Packet) -> None:
        self.network.send(self.host, self.codec.encode_returned(packet), self.agent)
