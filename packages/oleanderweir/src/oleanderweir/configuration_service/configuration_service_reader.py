"""Reads tickets and snapshots from the platform's configuration service."""

from __future__ import annotations

import logging
from itertools import pairwise
from typing import TYPE_CHECKING

import attrs

from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.messages import SnapshotPart
from oleanderweir.configuration_service.messages import TicketPage
from oleanderweir.configuration_service.part_reader import PartReader
from oleanderweir.configuration_service.snapshot_builder import build_snapshot
from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import Ticket
from oleanderweir.tickets import parse_ticket
from oleanderweir.tickets.metrics import TICKETS_REFUSED


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration_service.messages import PublishedTicket
    from oleanderweir.configuration_service.service_client import ServiceClient
    from oleanderweir.tickets import Snapshot


SNAPSHOT_PATH = "/v1/snapshot"
TICKETS_PATH = "/v1/tickets"
WATCH_TIMEOUT_S = 30

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class ConfigurationServiceReader:
    """
    Reads what the operators publish.

    Every method raises ``ServiceUnavailableError`` when the service cannot be read
    and ``InvalidServiceResponseError`` when it breaks the protocol. What it returns
    may be stale; the merge takes care of that.
    """

    client: ServiceClient
    watch_timeout_s: int = WATCH_TIMEOUT_S

    async def read_snapshot(self) -> Snapshot:
        """
        Return the whole published state.

        Raise ``InvalidSnapshotError`` when it contradicts itself.
        """
        reader = PartReader(
            client=self.client,
            path=SNAPSHOT_PATH,
            part_type=SnapshotPart,
            subject="snapshot",
        )
        return build_snapshot(await reader.read({}))

    async def read_tickets(self, after: int) -> Sequence[Ticket]:
        """
        Return tickets after a number, the first ones if there are many.

        A ticket that is refused is returned without entries, so that its reader moves
        past it. Nothing is returned when there are none.
        """
        page = await self.client.read(TICKETS_PATH, TicketPage, {"after": after})
        return self.parse_page(after, page)

    async def watch_tickets(self, after: int) -> Sequence[Ticket]:
        """
        Wait up to ``watch_timeout_s`` for tickets after a number; return them.

        The call is not retried. The result is that of ``read_tickets``.
        """
        page = await self.client.read_once(
            TICKETS_PATH,
            TicketPage,
            {"after": after, "wait_s": self.watch_timeout_s},
            wait_s=self.watch_timeout_s,
        )
        return self.parse_page(after, page)

    def parse_page(self, after: int, page: TicketPage) -> tuple[Ticket, ...]:
        """Return the tickets of a page; raise when they do not follow each other."""
        numbers = [after, *(published.number for published in page.tickets)]
        if any(later <= earlier for earlier, later in pairwise(numbers)):
            raise InvalidServiceResponseError(
                f"tickets after {after} came with numbers {numbers[1:4]}; "
                "the service must return them in their order"
            )
        return tuple(
            self.parse_published_ticket(published) for published in page.tickets
        )

    def parse_published_ticket(self, published: PublishedTicket) -> Ticket:
        """Return a ticket, without its entries when it has to be refused."""
        refused = Ticket(number=published.number, entries=())
        try:
            ticket = parse_ticket(published.text)
        except InvalidTicketError as error:
            report_refusal(published, "invalid", str(error))
            return refused
        if ticket.number != published.number:
            message = f"its text has number {ticket.number}"
            report_refusal(published, "number_mismatch", message)
            return refused
        return ticket


def report_refusal(published: PublishedTicket, reason: str, message: str) -> None:
    """Tell the operators that a published ticket stays out of force."""
    TICKETS_REFUSED.labels(reason=reason).inc()
    logger.error(
        "ticket %d is refused: %s; publish a corrected one under a new number",
        published.number,
        message,
        extra={"code": InvalidTicketError.code},
    )
