"""One packet of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.flows.flow_key import FlowKey


@attrs.define(kw_only=True, eq=False)
class Packet:
    """
    The fields that a packet exposes to the load balancer.

    ``data`` is the whole datagram. ``acknowledged`` is the number of the next byte that
    the sender expects; in a caller's opening packet it counts the copies sent before.
    ``is_returned`` marks a packet that a backend server returned because it doesn't
    hold the flow or can't open it. ``is_full`` tells whether it has as much payload as
    a packet can carry, so that the sender probably has more to send.
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
    is_full: bool = False

    @property
    def is_retransmitted(self) -> bool:
        """Whether the sender repeats the packet until the other end acknowledges it."""
        return self.payload_bytes > 0 or self.is_final
