"""Whether a backend server takes new work."""

from __future__ import annotations

import enum


class BackendState(enum.StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"
