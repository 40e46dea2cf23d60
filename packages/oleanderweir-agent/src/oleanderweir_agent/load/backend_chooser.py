"""The interface of load-balancing algorithms."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.load.load_entry import LoadEntry


class BackendChooser(Protocol):
    """Chooses a backend server of a service; ``candidates`` must not be empty."""

    def choose_for_session(self, candidates: Sequence[LoadEntry]) -> LoadEntry:
        """Return the backend server for a new session, which may last long."""

    def choose_for_offer(
        self, candidates: Sequence[LoadEntry], *, is_long: bool = False
    ) -> LoadEntry:
        """Return the backend server that a single request is offered to."""
