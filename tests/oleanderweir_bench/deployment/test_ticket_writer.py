from __future__ import annotations

import json

from oleanderweir.configuration import Service
from oleanderweir_bench.deployment import AddressPlan
from oleanderweir_bench.deployment import TicketWriter


def test_tickets_have_increasing_numbers_and_complete_values() -> None:
    plan = AddressPlan()
    writer = TicketWriter()
    service = Service(
        name="horaflujo",
        address=plan.allocate_service_address(),
        feed_paths=("/feed",),
    )
    entry = plan.backend_server("horaflujo", 1, 4)

    first = json.loads(writer.write(services=[service], backend_servers=[entry]))
    second = json.loads(writer.write(removed_backend_servers=["horaflujo-1"]))

    assert first["ticket"] == 1
    assert first["services"]["horaflujo"]["address"] == str(service.address)
    assert first["services"]["horaflujo"]["feed_paths"] == ["/feed"]
    backend_server = first["backend_servers"]["horaflujo-1"]
    assert backend_server["agent_address"] == str(entry.agent_address)
    assert backend_server["slots"] == 4
    assert second == {"ticket": 2, "backend_servers": {"horaflujo-1": None}}


def test_no_address_is_allocated_twice() -> None:
    plan = AddressPlan()

    addresses = [plan.allocate("127.0.0.1") for _ in range(20)]

    assert len(set(addresses)) == 20
