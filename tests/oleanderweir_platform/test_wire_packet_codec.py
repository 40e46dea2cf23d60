from __future__ import annotations

from oleanderweir.flows import FlowKey
from oleanderweir.flows import describe_flow
from oleanderweir_platform.wire_packet_codec import WirePacketCodec


# The examples of the platform's packet documentation.
OPENING = bytes.fromhex(
    "10000000d5c3b2a10000443322110000000000000000010012c607004064bb01419c"
)
RESET = bytes.fromhex(
    "08000000000000000000000000000000000000000000070040640100 12c6419cbb01"
)
KEY = FlowKey(bytes([100, 64, 0, 7, 0x9C, 0x41, 198, 18, 0, 1, 0x01, 0xBB]))


def test_an_opening_packet_is_decoded() -> None:
    packet = WirePacketCodec().decode_from_caller(OPENING)

    assert packet is not None
    assert packet.is_opening
    assert not packet.is_acknowledging
    assert packet.sequence == 0x11223344
    assert packet.key == KEY
    assert describe_flow(packet.key) == "100.64.0.7:40001>198.18.0.1:443"


def test_a_reset_is_encoded_as_documented() -> None:
    assert WirePacketCodec().make_reset(KEY, sequence=0) == RESET


def test_both_directions_of_a_flow_have_one_key() -> None:
    packet = WirePacketCodec().decode_from_backend_server(RESET)

    assert packet is not None
    assert packet.key == KEY


def test_a_returned_packet_is_restored_to_the_bytes_sent() -> None:
    codec = WirePacketCodec()
    returned = bytearray(OPENING)
    returned[0] |= 128
    returned[18:22] = b"mark"
    packet = codec.decode_from_backend_server(bytes(returned))

    assert packet is not None
    assert packet.is_returned
    assert packet.key == KEY
    assert codec.restore(packet) == OPENING


def test_a_datagram_of_invalid_size_is_not_decoded() -> None:
    codec = WirePacketCodec()

    assert codec.decode_from_caller(OPENING[:-1]) is None
    assert codec.decode_from_caller(OPENING + bytes(1201)) is None
