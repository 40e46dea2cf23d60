"""Tickets (configuration changes by operators) and the register that merges them."""

from __future__ import annotations

from oleanderweir.tickets.boot_gate import BootGate
from oleanderweir.tickets.boot_outcome import BootOutcome
from oleanderweir.tickets.boot_source import BootSource
from oleanderweir.tickets.entry import Entry
from oleanderweir.tickets.entry_codec import decode_entries
from oleanderweir.tickets.entry_codec import encode_entries
from oleanderweir.tickets.entry_key import BUCKET_COUNT
from oleanderweir.tickets.entry_key import EntryKey
from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.exceptions import InvalidEntryError
from oleanderweir.tickets.exceptions import InvalidSnapshotError
from oleanderweir.tickets.exceptions import InvalidTicketError
from oleanderweir.tickets.exceptions import UnreadableTicketFileError
from oleanderweir.tickets.merge_outcome import MergeOutcome
from oleanderweir.tickets.published_entry_reader import read_published_entry
from oleanderweir.tickets.register_bucket import RegisterBucket
from oleanderweir.tickets.register_view import RegisterView
from oleanderweir.tickets.snapshot import Snapshot
from oleanderweir.tickets.ticket import Ticket
from oleanderweir.tickets.ticket_checker import TicketChecker
from oleanderweir.tickets.ticket_document_loader import MAX_TICKET_BYTES
from oleanderweir.tickets.ticket_parser import parse_ticket
from oleanderweir.tickets.ticket_problem import TicketProblem
from oleanderweir.tickets.ticket_register import TicketRegister


__all__ = [
    "BUCKET_COUNT",
    "MAX_TICKET_BYTES",
    "BootGate",
    "BootOutcome",
    "BootSource",
    "Entry",
    "EntryKey",
    "EntryKind",
    "InvalidEntryError",
    "InvalidSnapshotError",
    "InvalidTicketError",
    "MergeOutcome",
    "RegisterBucket",
    "RegisterView",
    "Snapshot",
    "Ticket",
    "TicketChecker",
    "TicketProblem",
    "TicketRegister",
    "UnreadableTicketFileError",
    "decode_entries",
    "encode_entries",
    "parse_ticket",
    "read_published_entry",
]
