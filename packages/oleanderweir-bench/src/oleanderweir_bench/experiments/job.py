"""A simulated request."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Job:
    """
    A simulated request.

    ``work_s`` is the work in seconds at speed 1. ``arrived_at`` and ``deadline`` are
    trio times. ``is_long`` is for the evaluation only; the agent does not see it.
    """

    path: str
    work_s: float
    arrived_at: float
    deadline: float
    is_long: bool = False
