"""A new flow that will be hedged unless it opens in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


@attrs.frozen(kw_only=True)
class PendingHedge:
    """An opening packet; ``due_at`` is when to hedge it, in seconds of trio's clock."""

    packet: Packet
    due_at: float
