"""Tells that tickets came into force on a node."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class TicketsInForce:
    """Tells the tickets of entries that a node merged at one moment."""

    name: str
    tickets: tuple[int, ...]
    at_s: float
