"""The power of two random choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir_agent.load import LoadEntry


@attrs.define(kw_only=True)
class TwoChoicesChooser:
    """Chooses the better of two random backend servers, regardless of their speed."""

    random: random.Random

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the candidate with fewer sessions out of two."""
        return min(
            self.draw(candidates),
            key=lambda entry: entry.report.sessions + entry.sessions,
        )

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return the candidate with more free slots out of two."""
        return max(
            self.draw(candidates), key=lambda entry: entry.free_slots(is_long=is_long)
        )

    def draw(self, candidates: Sequence[LoadEntry]) -> list[LoadEntry]:
        """Return two random candidates, or the only one."""
        return self.random.sample(list(candidates), min(2, len(candidates)))
