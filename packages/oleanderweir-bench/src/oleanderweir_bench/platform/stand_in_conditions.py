"""What is wrong with a stand-in at the moment."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class StandInConditions:
    """
    What is wrong with a stand-in at the moment.

    ``is_down`` answers every read with status 503. ``stale_at`` shows the published
    state up to that ticket only. ``delay_s`` is added to every answer.
    """

    is_down: bool = False
    stale_at: int | None = None
    delay_s: float = 0.0
