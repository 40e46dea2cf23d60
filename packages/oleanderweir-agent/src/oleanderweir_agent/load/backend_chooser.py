"""The interface of the choice between the backend servers of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.load.load_entry import LoadEntry


class BackendChooser(Protocol):
    """How one of several backend servers is chosen. There is one at least."""

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the one that a new session goes to, for a long time."""

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return the one that a single request is offered to."""
