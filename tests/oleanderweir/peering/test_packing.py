from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.peering.packing import pack
from oleanderweir.peering.packing import unpack


@given(st.integers(min_value=-(2**100), max_value=2**100))
def test_integers_of_any_size_round_trip(value: int) -> None:
    assert unpack(pack([value, "text"])) == [value, "text"]


def test_a_value_without_a_packed_form_is_rejected() -> None:
    with pytest.raises(TypeError, match="MessagePack"):
        pack(object())


def test_an_unknown_extension_is_rejected() -> None:
    with pytest.raises(ValueError, match="extension 3"):
        unpack(msgpack.packb(msgpack.ExtType(3, b"x")))
