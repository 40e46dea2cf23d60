"""The source of published tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.tickets import Snapshot
    from oleanderweir.tickets import Ticket


class TicketSource(Protocol):
    """The configuration service, which may be unavailable or serve stale state."""

    async def read_snapshot(self) -> Snapshot:
        """Return the full published state; raise an ``OleanderweirError``."""

    async def read_tickets(self, after: int) -> Sequence[Ticket]:
        """Return the tickets after a number; raise an ``OleanderweirError``."""

    async def watch_tickets(self, after: int) -> Sequence[Ticket]:
        """
        Wait for tickets after a number and return them.

        Return an empty sequence on a timeout; raise an ``OleanderweirError``.
        """
