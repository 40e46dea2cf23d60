"""The source of published tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.tickets import Snapshot
    from oleanderweir.tickets import Ticket


class TicketSource(Protocol):
    """
    The configuration service, which may be unavailable or serve stale state.

    Every method raises an ``OleanderweirError`` when the service cannot be read.
    """

    async def read_snapshot(self) -> Snapshot:
        """Return the complete published state."""

    async def read_tickets(self, after: int) -> Sequence[Ticket]:
        """
        Return the tickets after a number, or the first of them if there are many.

        The result is empty when there are no later tickets.
        """

    async def watch_tickets(self, after: int) -> Sequence[Ticket]:
        """
        Wait for tickets after a number and return them.

        The result is empty after a timeout.
        """
