"""Where one opening packet was tried without success."""

from __future__ import annotations

import attrs


# Backend servers that could not take one opening packet before its caller is told.
MAX_REFUSALS = 3
# Agents that may pass one opening packet on because requests wait there.
MAX_BUSY_REJECTIONS = 2


@attrs.define(kw_only=True, eq=False)
class OpeningAttempts:
    """
    Agents that gave the opening packet of a flow back.

    ``refused`` could not take it; ``busy`` could, but not at once.
    """

    refused: set[str] = attrs.field(factory=set)
    busy: set[str] = attrs.field(factory=set)

    @property
    def excluded(self) -> set[str]:
        """The agents that another try leaves out."""
        return self.refused | self.busy

    @property
    def is_exhausted(self) -> bool:
        """Whether the flow is refused now."""
        return len(self.refused) >= MAX_REFUSALS

    def must_accept(self, host: str) -> bool:
        """Whether an agent has to take the flow though requests wait there."""
        return host in self.busy or len(self.busy) >= MAX_BUSY_REJECTIONS
