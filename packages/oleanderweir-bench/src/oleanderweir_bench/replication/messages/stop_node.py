"""Requests the stop of a node."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StopNode:
    """Requests a worker to stop a node abruptly."""

    name: str
