from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.envelope import Envelope
from oleanderweir.envelope import EnvelopeCodec
from oleanderweir.envelope import InvalidEnvelopeError
from oleanderweir.keys import KeyPurpose
from tests.oleanderweir.helpers import make_key_ring


FUZZ = settings(derandomize=True, deadline=None, max_examples=300)

envelopes = st.builds(
    Envelope,
    service=st.binary(min_size=6, max_size=6),
    caller=st.binary(min_size=6, max_size=6),
    datagram=st.binary(max_size=1500),
)


def make_codec(
    purpose: KeyPurpose = KeyPurpose.ENVELOPE_TO_AGENT,
) -> EnvelopeCodec:
    return EnvelopeCodec(key_ring=make_key_ring(), purpose=purpose)


@FUZZ
@given(envelopes)
def test_encode_and_decode_round_trip(envelope: Envelope) -> None:
    codec = make_codec()

    assert codec.decode(codec.encode(envelope)) == envelope


@FUZZ
@given(envelopes, st.data())
def test_any_flipped_bit_is_refused(envelope: Envelope, data: st.DataObject) -> None:
    encoded = bytearray(make_codec().encode(envelope))
    bit = data.draw(st.integers(0, len(encoded) * 8 - 1))
    encoded[bit // 8] ^= 1 << bit % 8

    with pytest.raises(InvalidEnvelopeError):
        make_codec().decode(bytes(encoded))


@FUZZ
@given(st.binary(max_size=100))
def test_foreign_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(InvalidEnvelopeError):
        make_codec().decode(data)


def test_envelope_of_the_other_direction_is_rejected() -> None:
    envelope = Envelope(service=bytes(6), caller=bytes(6), datagram=b"packet")
    reflected = make_codec(KeyPurpose.ENVELOPE_TO_BALANCER).encode(envelope)

    with pytest.raises(InvalidEnvelopeError):
        make_codec().decode(reflected)
