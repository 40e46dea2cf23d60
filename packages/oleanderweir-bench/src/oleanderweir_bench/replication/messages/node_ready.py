"""Tells that a node is ready."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class NodeReady:
    """Tells that a node is ready; ``at_s`` is on the machine's monotonic clock."""

    name: str
    at_s: float
