"""The encoding of withdrawn evacuation orders, which follow a listing to a peer."""

from __future__ import annotations

from typing import Any

from oleanderweir.desired_state import MAX_HISTORIES
from oleanderweir.desired_state import MAX_WITHDRAWN_ORDERS
from oleanderweir.desired_state import REVISION_MASK
from oleanderweir.desired_state import WithdrawnOrder
from oleanderweir.desired_state import WithdrawnOrders
from oleanderweir.peering.field_types import is_count
from oleanderweir.peering.field_types import is_text
from oleanderweir.peering.packing import pack
from oleanderweir.peering.packing import unpack
from oleanderweir.peering.position_codec import pack_position
from oleanderweir.peering.position_codec import unpack_position


def encode_withdrawn(withdrawn: WithdrawnOrders) -> bytes:
    """Return the body of the frame with withdrawn orders."""
    listings = [pack_position(position) for position in withdrawn.first_listings]
    orders = [
        [order.zone, order.revision, pack_position(order.withdrawn_at)]
        for order in withdrawn.orders
    ]
    return pack([listings, orders])


def decode_withdrawn(body: bytes) -> WithdrawnOrders:
    """Return the withdrawn orders; raise ``ValueError``, ``TypeError`` or msgpack's."""
    listings, orders = unpack(body)
    if len(listings) > MAX_HISTORIES or len(orders) > MAX_WITHDRAWN_ORDERS:
        raise ValueError("a peer told more than it can remember")
    return WithdrawnOrders(
        first_listings=tuple(unpack_position(position) for position in listings),
        orders=tuple(_decode_order(*fields) for fields in orders),
    )


def _decode_order(zone: Any, revision: Any, withdrawn_at: Any) -> WithdrawnOrder:
    """Return a withdrawn order; raise ``ValueError`` if a field is invalid."""
    if not is_text(zone) or not is_count(revision) or revision > REVISION_MASK:
        raise ValueError("a withdrawn order has a field of another type")
    return WithdrawnOrder(
        zone=zone, revision=revision, withdrawn_at=unpack_position(withdrawn_at)
    )
