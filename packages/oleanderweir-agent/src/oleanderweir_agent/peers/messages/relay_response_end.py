"""The end of a whole answer."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RelayResponseEnd:
    """Nothing follows; without this message an answer is not whole."""
