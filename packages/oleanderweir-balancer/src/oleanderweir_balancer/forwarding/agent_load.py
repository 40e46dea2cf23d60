"""What a balancer believes of the load of one agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.peering.messages import LoadReport


@attrs.define(kw_only=True, eq=False)
class AgentLoad:
    """The last report of an agent; ``reported_at`` is in trio's seconds."""

    report: LoadReport
    reported_at: float

    def is_silent(self, *, limit_s: float, now: float) -> bool:
        """Whether the agent seems gone, having reported nothing for ``limit_s``."""
        return now - self.reported_at > limit_s
