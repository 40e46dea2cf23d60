"""One request of an experiment."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Job:
    """
    One request: its route, its work in seconds at speed 1, and its deadline.

    ``is_long`` is what the experiment knows; the agent is not told.
    """

    path: str
    work_s: float
    arrived_at: float
    deadline: float
    is_long: bool = False
