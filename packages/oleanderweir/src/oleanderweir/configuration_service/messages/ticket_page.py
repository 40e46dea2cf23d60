"""The published tickets after a number."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.configuration_service.messages.published_ticket import (
        PublishedTicket,
    )


@attrs.frozen(kw_only=True)
class TicketPage:
    """
    Tickets after a number, in the order of their numbers.

    ``highest_ticket`` is the highest number that the service has. When it is above
    the last of ``tickets``, another call reads the rest.
    """

    highest_ticket: int
    tickets: tuple[PublishedTicket, ...]
