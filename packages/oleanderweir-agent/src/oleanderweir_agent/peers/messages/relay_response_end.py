"""The message that completes a response."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RelayResponseEnd:
    """Marks a response as complete; a response without it is truncated."""
