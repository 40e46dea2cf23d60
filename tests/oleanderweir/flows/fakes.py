from __future__ import annotations

from oleanderweir.flows import FlowKey
from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
from oleanderweir_bench.packet_path.emulated_codec import encode_packet


__all__ = [
    "EmulatedPacketCodec",
    "FakeSocket",
    "encode_packet",
    "make_key",
    "make_route_address",
]


def make_key(number: int = 1, *, route: int = 1) -> FlowKey:
    caller = bytes([100, 64, number // 256, number % 256]) + (40000).to_bytes(2, "big")
    return make_flow_key(caller=caller, route=make_route_address(route))


def make_route_address(number: int = 1) -> bytes:
    return bytes([198, 18, 0, number]) + (443).to_bytes(2, "big")


class FakeSocket:
    """Records the sent packets in order."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append((data, address))
        return True

    def pop_sent(self) -> list[tuple[bytes, tuple[str, int]]]:
        sent, self.sent = self.sent, []
        return sent

    def pop_sent_to(self, port: int) -> list[bytes]:
        """Return and remove the packets sent to one port."""
        packets = [data for data, address in self.sent if address[1] == port]
        self.sent = [packet for packet in self.sent if packet[1][1] != port]
        return packets
