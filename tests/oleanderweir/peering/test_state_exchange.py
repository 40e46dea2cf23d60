from __future__ import annotations

import attrs
import pytest
import trio.testing

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Topic
from oleanderweir.desired_state import WithdrawnOrder
from oleanderweir.desired_state import WithdrawnOrders
from oleanderweir.desired_state import make_position
from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.state_exchange import LENGTH
from oleanderweir.peering.state_exchange import decode_listing
from oleanderweir.peering.state_exchange import encode_listing
from oleanderweir.peering.state_exchange import receive_listing


@pytest.mark.parametrize("history", [1, 2**24 - 1, 2**24, 2**41])
def test_a_listing_of_any_history_fits_a_frame(history: int) -> None:
    position = make_position(history=history, revision=7)
    change = Change(name="b1", revision=position, document=b"{}")
    listing = Listing(
        topic=Topic.BACKEND_SERVERS, revision=position + 1, documents=(change,)
    )

    assert decode_listing(encode_listing(listing)[LENGTH.size :]) == listing


@pytest.mark.parametrize("is_earlier_release", [False, True])
async def test_withdrawn_orders_follow_a_listing_that_earlier_releases_can_decode(
    is_earlier_release: bool,
) -> None:
    position = make_position(history=2, revision=2**63)
    order = WithdrawnOrder(zone="a", revision=2**63, withdrawn_at=position)
    withdrawn = WithdrawnOrders(first_listings=(position,), orders=(order,))
    listing = Listing(
        topic=Topic.DESIRED_STATE,
        revision=position,
        documents=(),
        withdrawn=withdrawn,
    )
    if is_earlier_release:
        listing = attrs.evolve(listing, withdrawn=None)
    receiver, sender = trio.testing.memory_stream_pair()
    await sender.send_all(encode_listing(listing))
    await sender.aclose()

    assert await receive_listing(receiver) == listing


@pytest.mark.parametrize(
    ("count", "withdrawn_at"), [(257, 5), (1, 8)], ids=["too-many", "too-late"]
)
async def test_a_listing_with_impossible_withdrawn_orders_is_rejected(
    count: int, withdrawn_at: int
) -> None:
    orders = tuple(
        WithdrawnOrder(zone=f"z{number}", revision=5, withdrawn_at=withdrawn_at)
        for number in range(count)
    )
    listing = Listing(
        topic=Topic.DESIRED_STATE,
        revision=7,
        documents=(),
        withdrawn=WithdrawnOrders(orders=orders),
    )
    receiver, sender = trio.testing.memory_stream_pair()
    await sender.send_all(encode_listing(listing))
    await sender.aclose()

    with pytest.raises(InvalidMessageError):
        await receive_listing(receiver)
