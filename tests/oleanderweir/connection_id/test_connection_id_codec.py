from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.connection_id import CONNECTION_ID_LENGTH_BYTES
from oleanderweir.connection_id import ConnectionId
from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.connection_id import InvalidConnectionIdError
from tests.oleanderweir.helpers import NEW_KEY
from tests.oleanderweir.helpers import OLD_KEY
from tests.oleanderweir.helpers import make_key_ring


FUZZ = settings(derandomize=True, deadline=None, max_examples=300)

connection_ids = st.builds(
    ConnectionId,
    agent=st.binary(min_size=6, max_size=6),
    incarnation=st.integers(0, 2**32 - 1),
    service_tag=st.binary(min_size=3, max_size=3),
    nonce=st.integers(0, 2**24 - 1),
)


def make_codec(text: str = OLD_KEY) -> ConnectionIdCodec:
    return ConnectionIdCodec(key_ring=make_key_ring(text))


@FUZZ
@given(connection_ids)
def test_encode_and_decode_round_trip(connection_id: ConnectionId) -> None:
    codec = make_codec()

    data = codec.encode(connection_id)

    assert len(data) == CONNECTION_ID_LENGTH_BYTES
    assert codec.decode(data) == connection_id


@FUZZ
@given(connection_ids, st.integers(0, 159))
def test_any_flipped_bit_is_refused(connection_id: ConnectionId, bit: int) -> None:
    codec = make_codec()
    data = bytearray(codec.encode(connection_id))
    data[bit // 8] ^= 1 << bit % 8

    with pytest.raises(InvalidConnectionIdError):
        codec.decode(bytes(data))


@FUZZ
@given(st.binary(max_size=40))
def test_foreign_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(InvalidConnectionIdError):
        make_codec().decode(data)


def test_both_keys_are_accepted_during_a_rotation() -> None:
    connection_id = ConnectionId(
        agent=b"\x7f\0\0\1\0\1", incarnation=7, service_tag=b"abc", nonce=1
    )
    before = make_codec(OLD_KEY).encode(connection_id)
    after = make_codec(f"{NEW_KEY},{OLD_KEY}").encode(connection_id)

    for text in (f"{OLD_KEY},{NEW_KEY}", f"{NEW_KEY},{OLD_KEY}"):
        assert make_codec(text).decode(before) == connection_id
        assert make_codec(text).decode(after) == connection_id
    with pytest.raises(InvalidConnectionIdError):
        make_codec(NEW_KEY).decode(before)


@pytest.mark.parametrize("data", [b"", b"\xff", b"short"])
def test_an_id_of_another_length_has_no_reset_token(data: bytes) -> None:
    with pytest.raises(InvalidConnectionIdError):
        make_codec().stateless_reset_token(data)
