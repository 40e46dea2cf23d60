"""Random choice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir_agent.load import LoadEntry


@attrs.define(kw_only=True)
class RandomChooser:
    """Chooses a backend server at random."""

    random: random.Random

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return a random candidate."""
        return self.random.choice(candidates)

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return a random candidate."""
        return self.random.choice(candidates)
