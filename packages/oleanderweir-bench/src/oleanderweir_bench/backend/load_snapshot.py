"""What a backend server tells of its load."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadSnapshot:
    """
    What a backend server tells of its load.

    ``slots`` requests can run at once, ``busy`` run, ``queued`` wait; ``feeds`` of
    ``connections`` feeds are open. ``taken_at`` is in seconds since the Unix epoch.
    """

    slots: int
    busy: int
    queued: int
    connections: int
    feeds: int
    taken_at: float
