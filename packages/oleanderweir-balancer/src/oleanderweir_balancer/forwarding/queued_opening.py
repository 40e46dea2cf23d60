"""An opening packet that waits for the published state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


@attrs.frozen(kw_only=True)
class QueuedOpening:
    """An opening packet, received at ``arrived_at`` in seconds of trio's clock."""

    packet: Packet
    arrived_at: float
