from __future__ import annotations

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path import PacketHeader
from oleanderweir_standins import WireEndpointCodec


KEY = make_flow_key(
    caller=bytes([127, 16, 100, 1]) + (1025).to_bytes(2, "big"),
    route=bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big"),
)
CODEC = WireEndpointCodec()


def test_each_endpoint_decodes_what_the_other_encodes() -> None:
    opening_data = CODEC.encode(
        KEY,
        PacketHeader(is_opening=True, sequence=2**32 + 5, acknowledged=1),
        is_from_caller=True,
    )
    response_data = CODEC.encode(
        KEY,
        PacketHeader(is_acknowledging=True, payload_bytes=7),
        is_from_caller=False,
    )

    opening = CODEC.decode_from_caller(opening_data)
    response = CODEC.decode_from_backend_server(response_data)

    assert opening is not None
    assert response is not None
    assert opening.key == response.key == KEY
    assert opening.is_opening
    assert (opening.sequence, opening.acknowledged) == (5, 1)
    assert response.is_acknowledging
    assert response.payload_bytes == 7
    assert CODEC.is_intact(opening)
    assert CODEC.is_intact(response)


def test_a_returned_packet_is_restored_to_the_bytes_sent() -> None:
    packet = CODEC.decode_from_caller(
        CODEC.encode(KEY, PacketHeader(payload_bytes=9), is_from_caller=True)
    )
    assert packet is not None

    returned = CODEC.decode_from_backend_server(CODEC.encode_returned(packet))

    assert returned is not None
    assert returned.is_returned
    assert returned.key == KEY
    assert CODEC.restore(returned) == packet.data


def test_a_modified_packet_is_not_intact() -> None:
    data = bytearray(
        CODEC.encode(KEY, PacketHeader(payload_bytes=9), is_from_caller=True)
    )
    data[-1] ^= 1

    packet = CODEC.decode_from_caller(bytes(data))

    assert packet is not None
    assert not CODEC.is_intact(packet)
