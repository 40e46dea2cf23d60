"""A balancer's question whether a flow is held here."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class OwnershipCheck:
    """
    A packet that was handed to the backend server to find out who holds its flow.

    ``balancer`` is the host that waits for the answer; ``asked_at`` is in trio's
    seconds. ``ends_before`` is the sequence number after its payload, if it has any.
    """

    balancer: str
    data: bytes
    started_at: float
    end_sequence: int | None
