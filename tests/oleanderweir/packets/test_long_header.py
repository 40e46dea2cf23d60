from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.packets import InvalidPacketError
from oleanderweir.packets import LongHeader


INITIAL = b"\xc3\0\0\0\x01\x04dest\x06source\0\x40"


def test_parse_reads_both_connection_ids() -> None:
    header = LongHeader.parse(INITIAL)

    assert header.version == 1
    assert header.destination_connection_id == b"dest"
    assert header.source_connection_id == b"source"
    assert header.is_initial


def test_handshake_packet_is_not_initial() -> None:
    assert not LongHeader.parse(b"\xe3" + INITIAL[1:]).is_initial


@pytest.mark.parametrize("length", range(1, 17))
def test_truncated_header_is_rejected(length: int) -> None:
    with pytest.raises(InvalidPacketError):
        LongHeader.parse(INITIAL[:length])


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(min_size=1, max_size=80))
def test_any_bytes_parse_or_are_refused(data: bytes) -> None:
    try:
        header = LongHeader.parse(data)
    except InvalidPacketError:
        return
    assert len(header.destination_connection_id) <= 20
