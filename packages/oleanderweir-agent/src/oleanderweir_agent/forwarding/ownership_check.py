"""A pending check whether the backend server holds a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.flows import MAX_ACKNOWLEDGED_DISTANCE
from oleanderweir.flows import SEQUENCE_MODULUS


if TYPE_CHECKING:
    from oleanderweir.flows import Packet


@attrs.define(kw_only=True, eq=False)
class OwnershipCheck:
    """
    A packet that was forwarded to the backend server to see whether it holds the flow.

    ``balancer`` is the host of the peer that waits for the result, ``data`` the packet.
    ``started_at``, and ``forwarded_at`` of its newest of ``repeats`` copies, are in
    seconds of trio's clock. ``end_sequence`` is the sequence
    number after the packet's payload, None without payload, and ``sequence`` that of
    the packet. ``acknowledged`` is that of the next byte that the caller expects,
    ``is_final`` whether it has closed the flow.
    """

    balancer: str
    data: bytes
    started_at: float
    end_sequence: int | None
    sequence: int
    acknowledged: int
    is_final: bool
    forwarded_at: float
    repeats: int = 0

    @property
    def needs_answer(self) -> bool:
        """Whether a backend server that holds the flow answers the packet."""
        return self.end_sequence is not None or self.is_final

    def is_answered_for_another(self, answer: Packet) -> bool:
        """Whether an answer acknowledges bytes far from those of the packet."""
        if not answer.is_acknowledging or answer.is_opening:
            return False
        ahead = (answer.acknowledged - self.sequence) % SEQUENCE_MODULUS
        return min(ahead, SEQUENCE_MODULUS - ahead) > MAX_ACKNOWLEDGED_DISTANCE
