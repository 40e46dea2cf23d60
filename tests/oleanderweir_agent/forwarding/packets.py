from __future__ import annotations

from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key


KEY = make_key(1)
OPENING = encode_packet(KEY, is_opening=True)
OPENED = encode_packet(KEY, is_opening=True, is_acknowledging=True, sequence=5)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=6)
ANSWER = encode_packet(KEY, payload_bytes=600, is_acknowledging=True)


def encode_returned(**fields: object) -> bytes:
    return encode_packet(KEY, is_returned=True, **fields)  # type: ignore[arg-type]


def request(number: int, *, sequence: int = 1) -> bytes:
    return encode_packet(make_key(number), payload_bytes=900, sequence=sequence)


def answer(number: int) -> bytes:
    return encode_packet(make_key(number), payload_bytes=600, is_acknowledging=True)


def acknowledge(number: int, *, up_to: int) -> bytes:
    return encode_packet(make_key(number), is_acknowledging=True, acknowledged=up_to)
