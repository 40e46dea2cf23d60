"""What a connection to the backend server's port showed."""

from __future__ import annotations

import enum


class ProbeOutcome(enum.Enum):
    """The end of one probe."""

    ACCEPTED = "accepted"  # something listens
    REFUSED = "refused"  # nothing listens
    SILENT = "silent"  # no answer: frozen, cut off or too busy; this shows nothing
