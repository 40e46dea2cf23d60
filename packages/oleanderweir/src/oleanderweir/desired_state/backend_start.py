"""The newest start of a backend server at a host."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BackendStart:
    """
    A start of a backend server, in milliseconds of Unix time.

    ``known_at`` is when it became known to this process, in seconds of trio's clock.
    """

    started_at_ms: int
    known_at: float
