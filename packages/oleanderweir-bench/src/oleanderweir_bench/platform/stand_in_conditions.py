"""Fault conditions of a stand-in."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class StandInConditions:
    """
    Fault conditions of a stand-in.

    While ``is_down`` is set, every read gets status 503. ``stale_at`` hides the tickets
    above that number. ``delay_s`` is added to the time of every response.
    """

    is_down: bool = False
    stale_at: int | None = None
    delay_s: float = 0.0
