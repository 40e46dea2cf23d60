"""The lifecycle state of a backend server."""

from __future__ import annotations

import enum


class BackendState(enum.StrEnum):
    """Whether a backend server accepts new work, as it published."""

    READY = "ready"
    DRAINING = "draining"
