"""The measurements of a frozen worker."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class FreezeOutcome:
    """
    The measurements while the nodes of one worker were frozen; times are in seconds.

    ``spread_s`` holds, for each ticket, the time until it was in force on the last
    running node, and ``catch_up_s`` is the time that the frozen nodes needed
    afterwards.
    """

    frozen: int
    spread_s: list[float]
    catch_up_s: float
