"""Outcomes of a probe of the backend server."""

from __future__ import annotations

import enum


class ProbeOutcome(enum.Enum):
    """The result of one connection attempt to the backend server's port."""

    ACCEPTED = "accepted"  # a process listens
    REFUSED = "refused"  # no process listens
    SILENT = "silent"  # inconclusive: frozen, cut off, too busy or another error
