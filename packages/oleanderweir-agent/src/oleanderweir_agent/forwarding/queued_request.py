"""A request that waits for a free slot of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.forwarding.flow_table import SEQUENCE_MODULUS


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """
    The packets of a request that its backend server has no slot for yet.

    ``ends_before`` is the sequence number after its first packet. ``wanted_at`` is
    when its answer is wanted, ``useless_at`` when its caller gives up at the latest;
    both in trio's seconds. ``priority`` 0 goes first.
    """

    key: FlowKey
    packets: list[bytes]
    end_sequence: int
    arrived_at: float
    due_at: float
    expires_at: float
    priority: int

    def is_covered_by(self, sequence: int) -> bool:
        """Whether a receiver that has all bytes before ``sequence`` has the first."""
        behind = (sequence - self.end_sequence) % SEQUENCE_MODULUS
        return behind < SEQUENCE_MODULUS // 2
