"""Measures the cost of a ticket register."""

from __future__ import annotations

import json
import time
import tracemalloc
import zlib
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import attrs

from oleanderweir.configuration_service.messages import SnapshotPart
from oleanderweir.configuration_service.messages import decode_message
from oleanderweir.configuration_service.messages import encode_message
from oleanderweir.configuration_service.snapshot_builder import build_snapshot
from oleanderweir.tickets import BootGate
from oleanderweir.tickets import Entry
from oleanderweir.tickets import RegisterView
from oleanderweir.tickets import TicketRegister
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries
from oleanderweir.tickets import parse_ticket
from oleanderweir_bench.platform.snapshot_parts import make_snapshot_parts
from oleanderweir_bench.registers.register_cost import RegisterCost


if TYPE_CHECKING:
    from collections.abc import Callable


US_PER_S = 1e6
REPEATS = 3
VALUES_PER_TICKET = 500
TICKET_KEYS = 5

T = TypeVar("T")


@attrs.define(kw_only=True)
class RegisterMeasurement:
    """Builds a register from tickets and measures each operation."""

    services: int
    backend_servers: int

    def run(self) -> RegisterCost:
        """Measure; each time is the shortest of ``REPEATS`` runs."""
        texts = self.make_ticket_texts()
        parse_s, tickets = measure_time(lambda: [parse_ticket(text) for text in texts])
        entries = [entry for ticket in tickets for entry in ticket.entries]
        count = len(entries)
        data = encode_entries(entries)
        register = make_register(data)
        parts = make_snapshot_parts(register, register.highest_ticket)
        bodies = [encode_message(part) for part in parts]
        register_bytes = measure_bytes(lambda: make_register(data))
        view_bytes = measure_bytes(
            lambda: RegisterView(register=register, boot_gate=BootGate())
        )
        per_entry = US_PER_S / count
        return RegisterCost(
            entries=count,
            parse_us=parse_s * per_entry,
            merge_new_us=time_merge(data) * per_entry,
            merge_known_us=measure_time(lambda: register.merge(entries))[0] * per_entry,
            merge_ticket_us=time_ticket_merge(register) * US_PER_S,
            encode_us=measure_time(lambda: encode_entries(entries))[0] * per_entry,
            decode_us=measure_time(lambda: decode_entries(data))[0] * per_entry,
            digest_us=measure_time(register.digest)[0] * US_PER_S,
            adopt_floor_us=time_floor_adoption(register) * US_PER_S,
            read_snapshot_us=measure_time(lambda: read_bodies(bodies))[0] * per_entry,
            register_bytes=register_bytes,
            view_bytes=view_bytes,
            msgpack_bytes=len(data),
            msgpack_zlib_bytes=len(zlib.compress(data)),
            json_bytes=sum(len(body) for body in bodies),
            json_zlib_bytes=sum(len(zlib.compress(body)) for body in bodies),
            snapshot_parts=len(parts),
        )

    def make_ticket_texts(self) -> list[str]:
        """Return tickets that together describe every service and backend server."""
        services = {
            f"service-{number}": {"address": f"{make_host(10, number)}:443"}
            for number in range(self.services)
        }
        backend_servers = {
            f"backend-server-{number}": {
                "service": f"service-{number % self.services}",
                "availability_zone": f"zone-{number % 13}",
                "agent_address": f"{make_host(11, number)}:4433",
                "peer_address": f"{make_host(11, number)}:4434",
                "slots": 4,
            }
            for number in range(self.backend_servers)
        }
        sections = [
            *make_sections("services", services),
            *make_sections("backend_servers", backend_servers),
        ]
        return [
            json.dumps({"ticket": number, **section})
            for number, section in enumerate(sections, start=1)
        ]


def make_sections(name: str, values: dict[str, Any]) -> list[dict[str, Any]]:
    """Split values into the sections of several tickets."""
    items = list(values.items())
    return [
        {name: dict(items[start : start + VALUES_PER_TICKET])}
        for start in range(0, len(items), VALUES_PER_TICKET)
    ]


def make_host(network: int, number: int) -> str:
    """Return a host address that is unique to the number."""
    high, low = divmod(number, 250)
    return f"{network}.0.{high}.{low + 1}"


def make_register(data: bytes) -> TicketRegister:
    """Return a register with the entries decoded from ``data``."""
    register = TicketRegister()
    register.merge(decode_entries(data))
    return register


def read_bodies(bodies: list[bytes]) -> None:
    """Build a snapshot from the encoded bodies of its parts."""
    build_snapshot([decode_message(body, SnapshotPart) for body in bodies])


def measure_time(operation: Callable[[], T]) -> tuple[float, T]:
    """Return the shortest processor time of the runs, in seconds, and a result."""
    times: list[float] = []
    for _ in range(REPEATS):
        started = time.process_time()
        result = operation()
        times.append(time.process_time() - started)
    return min(times), result


def time_merge(data: bytes) -> float:
    """Return the seconds to merge decoded entries into an empty register."""
    times: list[float] = []
    for _ in range(REPEATS):
        entries = decode_entries(data)
        register = TicketRegister()
        started = time.process_time()
        register.merge(entries)
        times.append(time.process_time() - started)
    return min(times)


def time_ticket_merge(register: TicketRegister) -> float:
    """Return the seconds to merge a ticket of a few keys and to update the view."""
    view = RegisterView(register=register, boot_gate=BootGate())
    existing_entries = register.entries()[:TICKET_KEYS]
    times: list[float] = []
    for _ in range(REPEATS):
        number = register.highest_ticket + 1
        entries = [
            Entry(key=entry.key, ticket=number, value=entry.value)
            for entry in existing_entries
        ]
        started = time.process_time()
        register.merge(entries)
        times.append(time.process_time() - started)
    register.listeners.remove(view.apply)
    return min(times)


def time_floor_adoption(register: TicketRegister) -> float:
    """Return the seconds to adopt a higher floor from a peer with equal entries."""
    times: list[float] = []
    for floor in range(1, REPEATS + 1):
        started = time.process_time()
        register.adopt_floor(floor, register.bucket_digests(floor))
        times.append(time.process_time() - started)
    return min(times)


def measure_bytes(create: Callable[[], object]) -> int:
    """Return the memory in bytes of an object and of what only it references."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    created = create()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return after - before
