"""The indexes of a register that the data path reads."""

from __future__ import annotations

import bisect
from operator import attrgetter
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.tickets.entry_kind import EntryKind


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.tickets.boot_gate import BootGate
    from oleanderweir.tickets.entry import Entry
    from oleanderweir.tickets.ticket_register import TicketRegister


BY_NAME = attrgetter("name")


@attrs.define(kw_only=True, eq=False)
class RegisterView:
    """
    The services and backend servers in force, indexed and ordered by name.

    A returned sequence never changes; each change creates new sequences.
    """

    register: TicketRegister
    boot_gate: BootGate
    sorted_services: list[Service] = attrs.field(factory=list)
    services_cache: tuple[Service, ...] | None = None
    services_by_name: dict[str, Service] = attrs.field(factory=dict)
    backend_servers_by_name: dict[str, BackendServer] = attrs.field(factory=dict)
    backend_servers_by_service: dict[str, tuple[BackendServer, ...]] = attrs.field(
        factory=dict
    )
    changed: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.register.listeners.append(self.apply)
        self.apply(self.register.entries())

    @property
    def is_ready(self) -> bool:
        """Whether the process has merged enough to serve."""
        return self.boot_gate.is_ready

    def services(self) -> Sequence[Service]:
        """Return every service, ordered by name."""
        if self.services_cache is None:
            self.services_cache = tuple(self.sorted_services)
        return self.services_cache

    def service(self, name: str) -> Service | None:
        """Return the service with a name, or ``None``."""
        return self.services_by_name.get(name)

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the backend server with a name, or ``None``."""
        return self.backend_servers_by_name.get(name)

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        """Return the backend servers of a service, ordered by name."""
        return self.backend_servers_by_service.get(service, ())

    async def wait_changed(self) -> None:
        """Wait until the next change is in force."""
        await self.changed.wait()

    def apply(self, entries: tuple[Entry, ...]) -> None:
        """Apply the entries that came into force and wake the waiting tasks."""
        for entry in entries:
            if entry.key.kind is EntryKind.SERVICE:
                self.apply_service(entry)
            else:
                self.apply_backend_server(entry)
        self.changed.set()
        self.changed = trio.Event()

    def apply_service(self, entry: Entry) -> None:
        """Apply a new state or the removal of a service."""
        self.services_cache = None
        if self.services_by_name.pop(entry.key.name, None) is not None:
            del self.sorted_services[self.service_index(entry.key.name)]
        if isinstance(entry.value, Service):
            self.services_by_name[entry.key.name] = entry.value
            index = self.service_index(entry.key.name)
            self.sorted_services.insert(index, entry.value)

    def service_index(self, name: str) -> int:
        """Return the index of a service, or the index at which to insert it."""
        return bisect.bisect_left(self.sorted_services, name, key=BY_NAME)

    def apply_backend_server(self, entry: Entry) -> None:
        """Apply a new state or the removal of a backend server."""
        previous = self.backend_servers_by_name.pop(entry.key.name, None)
        if previous is not None:
            self.remove_from_service(previous)
        if isinstance(entry.value, BackendServer):
            self.backend_servers_by_name[entry.key.name] = entry.value
            self.add_to_service(entry.value)

    def remove_from_service(self, backend_server: BackendServer) -> None:
        """Remove a backend server from the list of its service."""
        service = backend_server.service
        members = self.backend_servers_by_service[service]
        remaining = tuple(
            member for member in members if member.name != backend_server.name
        )
        if remaining:
            self.backend_servers_by_service[service] = remaining
        else:
            del self.backend_servers_by_service[service]

    def add_to_service(self, backend_server: BackendServer) -> None:
        """Insert a backend server by name into the list of its service."""
        members = list(self.backend_servers_by_service.get(backend_server.service, ()))
        bisect.insort(members, backend_server, key=BY_NAME)
        self.backend_servers_by_service[backend_server.service] = tuple(members)
