"""Reports that a node is ready."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class NodeReady:
    """Reports that a node is ready; ``at_s`` is monotonic time in seconds."""

    name: str
    at_s: float
