"""Factories of keys and entries for the tests of tickets."""

from __future__ import annotations

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir.tickets import Entry
from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import EntryKind


def service_key(name: str = "horaflujo") -> EntryKey:
    return EntryKey(kind=EntryKind.SERVICE, name=name)


def service_entry(ticket: int, *, name: str = "horaflujo", port: int = 443) -> Entry:
    address = SocketAddress(host="192.0.2.1", port=port)
    value = Service(name=name, address=address)
    return Entry(key=service_key(name), ticket=ticket, value=value)


def tombstone(ticket: int, *, name: str = "horaflujo") -> Entry:
    return Entry(key=service_key(name), ticket=ticket, value=None)


def backend_server_entry(
    ticket: int, *, name: str, service: str = "horaflujo", slots: int = 4
) -> Entry:
    value = BackendServer(
        name=name,
        service=service,
        availability_zone="stgo-b",
        agent_address=SocketAddress(host="192.0.2.9", port=4433),
        peer_address=SocketAddress(host="192.0.2.9", port=4434),
        slots=slots,
    )
    key = EntryKey(kind=EntryKind.BACKEND_SERVER, name=name)
    return Entry(key=key, ticket=ticket, value=value)
