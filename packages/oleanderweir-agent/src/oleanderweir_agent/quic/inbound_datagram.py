"""A datagram that waits for the task of its connection."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class InboundDatagram:
    """A datagram and its caller as a ``(host, port)`` pair."""

    data: bytes
    caller: tuple[str, int]
