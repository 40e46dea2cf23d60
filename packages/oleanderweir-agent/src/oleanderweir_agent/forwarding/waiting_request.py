"""A request that waits for a free slot of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class WaitingRequest:
    """
    The packets of a request that its backend server has no slot for yet.

    ``wanted_at`` is when its answer is wanted, ``useless_at`` when its caller gives up
    at the latest; both in trio's seconds. ``priority`` 0 goes first.
    """

    key: FlowKey
    packets: list[bytes]
    arrived_at: float
    wanted_at: float
    useless_at: float
    priority: int
