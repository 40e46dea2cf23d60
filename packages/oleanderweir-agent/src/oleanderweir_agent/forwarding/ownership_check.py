"""A pending check whether the backend server holds a flow."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class OwnershipCheck:
    """
    A packet that was forwarded to the backend server to see whether it holds the flow.

    ``balancer`` is the host of the peer that waits for the result, ``data`` the packet.
    ``started_at`` is in seconds of trio's clock. ``end_sequence`` is the sequence
    number after the packet's payload, None without payload. ``acknowledged`` is that of
    the next byte that the caller expects, ``is_final`` whether it has closed the flow.
    """

    balancer: str
    data: bytes
    started_at: float
    end_sequence: int | None
    acknowledged: int
    is_final: bool
