"""A packet in transit between balancer and agent."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Envelope:
    """
    A datagram with the addresses of its service and its caller.

    The addresses are kept packed, to avoid unpacking them for every packet.
    """

    service: bytes
    caller: bytes
    datagram: bytes
