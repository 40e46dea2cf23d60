"""Requests the stop of a node."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class StopNode:
    """Requests that a worker stop a node abruptly."""

    name: str
