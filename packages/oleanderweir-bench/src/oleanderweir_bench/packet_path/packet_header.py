"""The fields that an endpoint sets in a packet."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class PacketHeader:
    """
    The fields of a packet that a caller or backend server sends.

    They have the meaning of those of ``oleanderweir.flows.Packet``.
    """

    is_opening: bool = False
    is_acknowledging: bool = False
    is_final: bool = False
    is_reset: bool = False
    sequence: int = 0
    acknowledged: int = 0
    payload_bytes: int = 0
