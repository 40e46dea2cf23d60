"""Entries that came newly in force."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class EntryBatch:
    """Carries entries, encoded."""

    entries: bytes
