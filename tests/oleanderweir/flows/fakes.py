from __future__ import annotations

import msgpack

from oleanderweir.flows import FlowKey
from oleanderweir.flows import Packet
from oleanderweir.flows import make_flow_key


FIELDS = (
    "is_opening",
    "is_acknowledging",
    "is_final",
    "is_reset",
    "is_returned",
    "sequence",
    "acknowledged",
    "payload_bytes",
)


class FakePacketCodec:
    """Packets as lists of their fields, in place of any wire format."""

    def decode_from_caller(self, data: bytes) -> Packet | None:
        try:
            key, *values = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            return None
        return Packet(
            data=data, key=FlowKey(key), **dict(zip(FIELDS, values, strict=True))
        )

    def decode_from_backend_server(self, data: bytes) -> Packet | None:
        return self.decode_from_caller(data)

    def restore(self, packet: Packet) -> bytes:
        return encode_packet(
            packet.key,
            is_opening=packet.is_opening,
            is_acknowledging=packet.is_acknowledging,
            is_final=packet.is_final,
            sequence=packet.sequence,
            acknowledged=packet.acknowledged,
            payload_bytes=packet.payload_bytes,
        )

    def make_reset(self, key: FlowKey, *, sequence: int) -> bytes:
        return encode_packet(key, is_reset=True, sequence=sequence)


def encode_packet(
    key: FlowKey,
    *,
    is_opening: bool = False,
    is_acknowledging: bool = False,
    is_final: bool = False,
    is_reset: bool = False,
    is_returned: bool = False,
    sequence: int = 0,
    acknowledged: int = 0,
    payload_bytes: int = 0,
) -> bytes:
    values = (
        is_opening,
        is_acknowledging,
        is_final,
        is_reset,
        is_returned,
        sequence,
        acknowledged,
        payload_bytes,
    )
    data: bytes = msgpack.packb([key, *values])
    return data


def make_key(number: int = 1, *, route: int = 1) -> FlowKey:
    caller = bytes([100, 64, number // 256, number % 256]) + (40000).to_bytes(2, "big")
    return make_flow_key(caller=caller, route=make_route_address(route))


def make_route_address(number: int = 1) -> bytes:
    return bytes([198, 18, 0, number]) + (443).to_bytes(2, "big")


class FakeSocket:
    """Keeps what was sent, in order."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def send_to(self, data: bytes, address: tuple[str, int]) -> bool:
        self.sent.append((data, address))
        return True

    def take(self) -> list[tuple[bytes, tuple[str, int]]]:
        sent, self.sent = self.sent, []
        return sent

    def take_sent_to(self, port: int) -> list[bytes]:
        """Return and remove what was sent to one port."""
        taken = [data for data, address in self.sent if address[1] == port]
        self.sent = [it for it in self.sent if it[1][1] != port]
        return taken
