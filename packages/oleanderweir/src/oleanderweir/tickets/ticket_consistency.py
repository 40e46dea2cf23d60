"""
Contradictions within one ticket.

Only what the ticket alone decides is looked at. A rule that also looked at the state
in force would refuse a ticket in one process and accept it in another.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.tickets.entry_kind import EntryKind
from oleanderweir.tickets.ticket_problem import TicketProblem


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress
    from oleanderweir.tickets.entry import Entry


def find_inconsistencies(entries: Sequence[Entry]) -> list[TicketProblem]:
    """Return the problems between the entries of a ticket."""
    return [
        *find_duplicate_addresses(entries),
        *find_removed_service_references(entries),
    ]


def find_duplicate_addresses(entries: Sequence[Entry]) -> Iterator[TicketProblem]:
    """Find addresses of the same transport that stand twice."""
    owners: dict[tuple[str, SocketAddress], str] = {}
    for entry in entries:
        for field, transport, address in list_addresses(entry):
            path = f"{entry.key.kind.section}.{entry.key.name}.{field}"
            owner = owners.setdefault((transport, address), path)
            if owner != path:
                yield TicketProblem(
                    path=path,
                    message=f"{address} is also that of {owner}",
                    remedy="give each its own address and port",
                )


def list_addresses(entry: Entry) -> list[tuple[str, str, SocketAddress]]:
    """Return field, transport and address of everything that the entry binds."""
    if isinstance(entry.value, Service):
        return [("address", "udp", entry.value.address)]
    if isinstance(entry.value, BackendServer):
        return [
            ("agent_address", "udp", entry.value.agent_address),
            ("peer_address", "tcp", entry.value.peer_address),
        ]
    return []


def find_removed_service_references(
    entries: Sequence[Entry],
) -> Iterator[TicketProblem]:
    """Find backend servers of a service that the same ticket removes."""
    removed = {
        entry.key.name
        for entry in entries
        if entry.key.kind is EntryKind.SERVICE and entry.is_tombstone
    }
    for entry in entries:
        if isinstance(entry.value, BackendServer) and entry.value.service in removed:
            yield TicketProblem(
                path=f"backend_servers.{entry.key.name}.service",
                message=f"this ticket removes the service {entry.value.service}",
                remedy="remove the backend server too, or keep the service",
            )
