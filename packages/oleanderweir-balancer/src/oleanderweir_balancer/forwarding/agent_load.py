"""The load of one agent as a balancer last received it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.peering.messages import LoadReport


@attrs.define(kw_only=True, eq=False)
class AgentLoad:
    """The last load report of an agent; ``reported_at`` is trio time in seconds."""

    report: LoadReport
    reported_at: float

    def is_silent(self, *, limit_s: float, now: float) -> bool:
        """Whether the last report is older than ``limit_s`` seconds."""
        return now - self.reported_at > limit_s
