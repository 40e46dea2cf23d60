"""A request that is queued for a free slot of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import SEQUENCE_MODULUS


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """
    The packets of a request for which the backend server has no free slot yet.

    ``end_sequence`` is the sequence number after the first packet's payload.
    ``arrived_at`` is when that packet arrived, ``due_at`` when the answer is due by the
    route's target latency, and ``expires_at`` when the caller gives up at the latest,
    in seconds of trio's clock. ``priority`` 0 is the most urgent.
    """

    key: FlowKey
    packets: list[bytes]
    end_sequence: int
    arrived_at: float
    due_at: float
    expires_at: float
    priority: int

    def is_covered_by(self, sequence: int) -> bool:
        """Whether the first packet's payload lies before ``sequence``."""
        behind = (sequence - self.end_sequence) % SEQUENCE_MODULUS
        return behind < SEQUENCE_MODULUS // 2
