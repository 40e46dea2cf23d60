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
    Reads the snapshots and tickets that operators publish.

    Every read raises ``ServiceUnavailableError`` when the service cannot be read
    and ``InvalidServiceResponseError`` when a response violates the protocol.
    Results may be stale; merging them keeps the newest entries.
    """

    client: ServiceClient
    watch_timeout_s: int = WATCH_TIMEOUT_S

    async def read_snapshot(self) -> Snapshot:
        """
        Return the published snapshot.

        Raise ``InvalidSnapshotError`` when it is incomplete or has an invalid entry.
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
        Return the tickets after a number, or the first of them if there are many.

        A rejected ticket is returned without entries, so that the next read starts
        after its number. The result is empty when there are no later tickets.
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
        """
        Return the tickets of a page, without the entries of rejected ones.

        Raise ``InvalidServiceResponseError`` unless their numbers increase.
        """
        numbers = [after, *(published.number for published in page.tickets)]
        if any(later <= earlier for earlier, later in pairwise(numbers)):
            raise InvalidServiceResponseError(
                f"the tickets after {after} have the numbers {numbers[1:4]}; "
                "the service must return them in increasing order"
            )
        return tuple(
            self.parse_published_ticket(published) for published in page.tickets
        )

    def parse_published_ticket(self, published: PublishedTicket) -> Ticket:
        """Return a ticket; a rejected ticket has no entries."""
        rejected = Ticket(number=published.number, entries=())
        try:
            ticket = parse_ticket(published.text)
        except InvalidTicketError as error:
            report_rejection(published, "invalid", str(error))
            return rejected
        if ticket.number != published.number:
            message = f"its text has number {ticket.number}"
            report_rejection(published, "number_mismatch", message)
            return rejected
        return ticket


def report_rejection(published: PublishedTicket, reason: str, message: str) -> None:
    """Count and log a published ticket that is rejected."""
    TICKETS_REFUSED.labels(reason=reason).inc()
    logger.error(
        "ticket %d is rejected: %s; publish a corrected ticket under a new number",
        published.number,
        message,
        extra={"code": InvalidTicketError.code},
    )
