"""One packet of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows.flow_key import FlowKey


@attrs.define(kw_only=True, eq=False)
class Packet:
    """
    What may be read of a packet; ``data`` is the whole datagram.

    ``acknowledged`` is the next byte that the sender expects; in the opening packets
    of a caller it counts the copies sent before. ``is_returned`` marks a packet that
    a backend server gave back because it doesn't hold the flow or can't open it.
    """

    data: bytes
    key: FlowKey
    is_opening: bool
    is_acknowledging: bool
    is_final: bool
    is_reset: bool
    is_returned: bool
    sequence: int
    acknowledged: int
    payload_bytes: int
