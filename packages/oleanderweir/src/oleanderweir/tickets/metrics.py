"""Counters of tickets, merges and boot sources."""

from __future__ import annotations

from prometheus_client import Counter


ENTRIES_MERGED = Counter(
    "oleanderweir_ticket_entries_merged",
    "Entries that came into force.",
)
ENTRIES_DROPPED = Counter(
    "oleanderweir_ticket_entries_dropped",
    "Entries that a merge did not bring into force, by reason.",
    ["reason"],
)
TICKET_CONFLICTS = Counter(
    "oleanderweir_ticket_conflicts",
    "Keys for which one ticket number came with two contents.",
)
TICKETS_REFUSED = Counter(
    "oleanderweir_tickets_refused",
    "Tickets refused as a whole, by reason.",
    ["reason"],
)
ENTRIES_COLLECTED = Counter(
    "oleanderweir_ticket_entries_collected",
    "Entries removed under a raised floor, by reason.",
    ["reason"],
)
BOOT_OUTCOMES = Counter(
    "oleanderweir_boot_outcomes",
    "Outcomes of a boot source, by source and outcome.",
    ["source", "outcome"],
)
