"""A load report of a backend server."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadSnapshot:
    """
    A load report of a backend server.

    Of at most ``slots`` concurrent requests, ``busy`` run and ``queued`` more wait. Of
    at most ``connections`` feeds, ``feeds`` are open. ``taken_at`` is in seconds since
    the Unix epoch.
    """

    slots: int
    busy: int
    queued: int
    connections: int
    feeds: int
    taken_at: float
