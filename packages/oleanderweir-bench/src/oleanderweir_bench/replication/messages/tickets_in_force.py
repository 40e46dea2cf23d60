"""Reports that tickets came into force on a node."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class TicketsInForce:
    """
    Reports the tickets of entries that a node merged at the same time.

    ``at_s`` is monotonic time in seconds.
    """

    name: str
    tickets: tuple[int, ...]
    at_s: float
