"""The measurements of a replacement of nodes."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReplacementOutcome:
    """
    The measurements of a replacement of nodes.

    ``ready_s`` is the time until all were ready, ``is_ready`` whether that was within
    the timeout, and ``is_ticket_kept`` whether the newest ticket is in force on every
    node.
    """

    replaced: int
    ready_s: float
    is_ready: bool
    is_ticket_kept: bool
