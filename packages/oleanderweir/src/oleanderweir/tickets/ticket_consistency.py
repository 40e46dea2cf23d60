"""
Checks that the entries of one ticket are consistent with each other.

The checks depend on the ticket alone. A check against the state in force could reject
a ticket in one process and accept it in another.
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
    """Return the inconsistencies between the entries of a ticket."""
    return [
        *find_duplicate_addresses(entries),
        *find_removed_service_references(entries),
    ]


def find_duplicate_addresses(entries: Sequence[Entry]) -> Iterator[TicketProblem]:
    """Find addresses that are used twice with the same transport."""
    owners: dict[tuple[str, SocketAddress], str] = {}
    for entry in entries:
        for field, transport, address in list_addresses(entry):
            path = f"{entry.key.kind.section}.{entry.key.name}.{field}"
            owner = owners.setdefault((transport, address), path)
            if owner != path:
                yield TicketProblem(
                    path=path,
                    message=f"{address} is already used by {owner}",
                    remedy="give each a different address and port",
                )


def list_addresses(entry: Entry) -> list[tuple[str, str, SocketAddress]]:
    """Return field, transport and address for each address of an entry."""
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
    """Find backend servers whose service is removed by the same ticket."""
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
