from __future__ import annotations

import pytest

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import make_position
from oleanderweir.peering.state_exchange import LENGTH
from oleanderweir.peering.state_exchange import decode_listing
from oleanderweir.peering.state_exchange import encode_listing


@pytest.mark.parametrize("history", [1, 2**24 - 1, 2**24, 2**41])
def test_a_listing_of_any_history_fits_a_frame(history: int) -> None:
    position = make_position(history=history, revision=7)
    change = Change(name="b1", revision=position, document=b"{}")
    listing = Listing(
        topic=Topic.BACKEND_SERVERS, revision=position + 1, documents=(change,)
    )

    assert decode_listing(encode_listing(listing)[LENGTH.size :]) == listing
