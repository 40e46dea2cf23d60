"""The measurements of a burst of tickets."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class BurstOutcome:
    """
    The seconds until a burst of tickets was in force on every node.

    ``is_complete`` is whether that was within the timeout.
    """

    burst_s: float
    is_complete: bool
