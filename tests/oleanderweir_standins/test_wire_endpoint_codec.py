from __future__ import annotations

from oleanderweir.flows import make_flow_key
from oleanderweir_standins import WireEndpointCodec


KEY = make_flow_key(
    caller=bytes([127, 16, 100, 1]) + (1025).to_bytes(2, "big"),
    route=bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big"),
)
CODEC = WireEndpointCodec()


def test_both_ends_read_what_the_other_wrote() -> None:
    sent = CODEC.encode(
        KEY, is_from_caller=True, is_opening=True, sequence=2**32 + 5, acknowledged=1
    )
    answered = CODEC.encode(
        KEY, is_from_caller=False, is_acknowledging=True, payload_bytes=7
    )

    opening = CODEC.decode_from_caller(sent)
    answer = CODEC.decode_from_backend_server(answered)

    assert opening is not None
    assert answer is not None
    assert opening.key == answer.key == KEY
    assert opening.is_opening
    assert (opening.sequence, opening.acknowledged) == (5, 1)
    assert answer.is_acknowledging
    assert answer.payload_bytes == 7
    assert CODEC.is_intact(opening)
    assert CODEC.is_intact(answer)


def test_a_packet_that_was_given_back_is_intact_again_once_restored() -> None:
    packet = CODEC.decode_from_caller(
        CODEC.encode(KEY, is_from_caller=True, payload_bytes=9)
    )
    assert packet is not None

    returned = CODEC.decode_from_backend_server(CODEC.encode_returned(packet))

    assert returned is not None
    assert returned.is_returned
    assert returned.key == KEY
    assert CODEC.restore(returned) == packet.data


def test_a_changed_packet_is_noticed() -> None:
    data = bytearray(CODEC.encode(KEY, is_from_caller=True, payload_bytes=9))
    data[-1] ^= 1

    packet = CODEC.decode_from_caller(bytes(data))

    assert packet is not None
    assert not CODEC.is_intact(packet)
