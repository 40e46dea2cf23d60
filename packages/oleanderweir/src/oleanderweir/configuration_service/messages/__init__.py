"""The messages of the platform's services; ``docs/TICKETS.md`` describes them."""

from __future__ import annotations

from oleanderweir.configuration_service.messages.instance_list_part import (
    InstanceListPart,
)
from oleanderweir.configuration_service.messages.message_codec import MAX_VALUE_BYTES
from oleanderweir.configuration_service.messages.message_codec import decode_message
from oleanderweir.configuration_service.messages.message_codec import encode_message
from oleanderweir.configuration_service.messages.published_entry import PublishedEntry
from oleanderweir.configuration_service.messages.published_part import PublishedPart
from oleanderweir.configuration_service.messages.published_ticket import PublishedTicket
from oleanderweir.configuration_service.messages.snapshot_part import SnapshotPart
from oleanderweir.configuration_service.messages.ticket_page import TicketPage


__all__ = [
    "MAX_VALUE_BYTES",
    "InstanceListPart",
    "PublishedEntry",
    "PublishedPart",
    "PublishedTicket",
    "SnapshotPart",
    "TicketPage",
    "decode_message",
    "encode_message",
]
