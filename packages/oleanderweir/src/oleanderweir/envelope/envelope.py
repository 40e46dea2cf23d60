"""One packet of a caller on its way between balancer and agent."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class Envelope:
    """
    A datagram with the two addresses between which it travels.

    ``service`` and ``caller`` are packed addresses, since every packet passes here.
    """

    service: bytes
    caller: bytes
    datagram: bytes
