"""Entries that changed."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class EntryBatch:
    """Carries changed entries, encoded."""

    entries: bytes
