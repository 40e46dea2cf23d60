"""Round-robin choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.load import LoadEntry


@attrs.define(kw_only=True)
class RoundRobinChooser:
    """Chooses backend servers in turn; the first is the one after ``position``."""

    position: int = 0

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the next candidate in turn."""
        self.position += 1
        return candidates[self.position % len(candidates)]

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return the next candidate in turn."""
        return self.choose_for_session(candidates)
