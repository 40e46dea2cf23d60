"""
Positions in the histories of a source.

A source that returns from an older copy starts a new history, and gives out revisions
again. A position joins the number of the history and the revision to one number that
only grows. Only within one history does it tell which of two writes came later.
"""

from __future__ import annotations


# Bits of a position that hold the revision; the history is above them.
REVISION_BITS = 64
REVISION_MASK = (1 << REVISION_BITS) - 1


def make_position(*, history: int, revision: int) -> int:
    """Return the position of a revision in a history."""
    return history << REVISION_BITS | revision


def history_of(position: int) -> int:
    """Return the number of the history of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position in its history."""
    return position & REVISION_MASK
