from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.desired_state import make_position
from oleanderweir.peering.packing import pack
from oleanderweir.peering.packing import unpack
from oleanderweir.peering.position_codec import pack_position
from oleanderweir.peering.position_codec import unpack_position


@given(
    history=st.integers(min_value=0, max_value=2**80),
    revision=st.integers(min_value=0, max_value=2**64 - 1),
)
def test_a_position_of_any_size_round_trips(history: int, revision: int) -> None:
    position = make_position(history=history, revision=revision)

    assert unpack_position(unpack(pack(pack_position(position)))) == position


def test_a_short_revision_has_the_form_of_earlier_releases() -> None:
    position = make_position(history=3, revision=7)

    assert pack_position(position) == 3 << 40 | 7


@pytest.mark.parametrize("value", [-1, "7", None, [3, 7]])
def test_a_value_that_is_no_position_is_rejected(value: object) -> None:
    with pytest.raises(ValueError, match="position"):
        unpack_position(value)
