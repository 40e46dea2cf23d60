"""A new flow whose first agent has not answered yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class PendingFlowKey:
    """Identifies a new flow in its first packet and in an agent's answer to it."""

    caller: bytes
    source_connection_id: bytes


@attrs.define(kw_only=True)
class PendingFlow:
    """
    The first packet of a new flow, buffered until an agent answers or a hedge is due.

    ``hedge_at`` is trio time in seconds.
    """

    key: PendingFlowKey
    service: str
    agent: SocketAddress
    encoded_envelope: bytes
    hedge_at: float
