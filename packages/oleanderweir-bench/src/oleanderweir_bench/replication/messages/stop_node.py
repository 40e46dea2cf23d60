"""Asks a worker to stop a node."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StopNode:
    """Asks a worker to stop a node without warning."""

    name: str
