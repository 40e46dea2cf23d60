"""An emulated caller that closes idle flows and reuses ports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import trio

from oleanderweir_bench.packet_path.emulated_caller import FIRST_RETRANSMISSION_S
from oleanderweir_bench.packet_path.emulated_caller import MAX_RETRANSMISSION_S
from oleanderweir_bench.packet_path.emulated_caller import MEAN_PAUSE_S
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


# Retransmissions after which a caller gives up a final packet.
MAX_RETRANSMISSIONS = 8
# Share of pauses that are long, share of those after which the caller closes the flow,
# and longest pause in seconds; idle flows may be discarded after 15 s.
LONG_PAUSE_SHARE = 0.1
CLOSE_SHARE = 0.3
MAX_PAUSE_S = 12.0
# Share of new flows that use the port of a closed one.
REUSE_SHARE = 0.3


@attrs.define(kw_only=True, eq=False)
class ClosingFlow:
    """A flow whose final packet the backend server has not acknowledged yet."""

    data: bytes
    sequence: int
    server_sequence: int | None


class ClosingCaller(EmulatedCaller):
    """
    Sends the final packet of a flow until it is acknowledged.

    Makes long pauses at times, and then sends the next request or closes the flow.
    """

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self.closing: dict[FlowKey, ClosingFlow] = {}
        self.free_ports: list[int] = []
        # The flow that its backend server has closed.
        self.closed_key: FlowKey | None = None

    def on_datagram(self, source: str, data: bytes) -> None:
        """Receive a datagram."""
        packet = self.codec.decode_from_backend_server(data)
        flow = None if packet is None else self.closing.get(packet.key)
        if packet is None or flow is None:
            if packet is not None and packet.is_final and self._is_from_owner(packet):
                self.closed_key = packet.key
            super().on_datagram(source, data)
            return
        if packet.is_reset:
            del self.closing[packet.key]
            self.record_false_reset(packet.key, flow.server_sequence, source)
        elif (
            packet.sequence == flow.server_sequence
            and packet.acknowledged > flow.sequence
        ):
            del self.closing[packet.key]
            self.free_ports.append(int.from_bytes(packet.key[4:6], "big"))

    async def run(self, until: float) -> None:
        """Send requests until ``until``, a time of trio's clock."""
        random_source = self.random_source
        await trio.sleep(random_source.uniform(0, MEAN_PAUSE_S))
        while trio.current_time() < until:
            await self._request()
            if self.key is not None and self.key == self.closed_key:
                self._close()
            pause_s = random_source.uniform(0.5, 1.5) * MEAN_PAUSE_S
            if random_source.random() < LONG_PAUSE_SHARE:
                pause_s = random_source.uniform(pause_s, MAX_PAUSE_S)
            await trio.sleep(min(pause_s, max(0.0, until - trio.current_time())))
            if self.key is not None and random_source.random() < CLOSE_SHARE:
                self._close()

    def _next_port(self) -> int:
        if self.free_ports and self.random_source.random() < REUSE_SHARE:
            return self.free_ports.pop(0)
        return super()._next_port()

    def _close(self) -> None:
        if self.key is None:
            return
        self.closing[self.key] = ClosingFlow(
            data=self._encode(is_final=True),
            sequence=self.sequence,
            server_sequence=self.server_sequence,
        )
        self.network.start_soon(self._send_final_packets, self.key)
        self.key = None

    async def _send_final_packets(self, key: FlowKey) -> None:
        flow = self.closing[key]
        wait_s = FIRST_RETRANSMISSION_S
        for _ in range(1 + MAX_RETRANSMISSIONS):
            if self.closing.get(key) is not flow:
                return
            balancer = self.router.choose(key)
            if balancer is not None:
                address = (balancer, self.balancer_port)
                self.network.send(self.host, flow.data, address)
            await trio.sleep(wait_s)
            wait_s = min(wait_s * 2, MAX_RETRANSMISSION_S)
        self.closing.pop(key, None)
