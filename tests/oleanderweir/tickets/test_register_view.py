from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.tickets import BootGate
from oleanderweir.tickets import RegisterView
from oleanderweir.tickets import Snapshot
from oleanderweir.tickets import TicketRegister
from tests.oleanderweir.tickets.values import backend_server_entry
from tests.oleanderweir.tickets.values import service_entry
from tests.oleanderweir.tickets.values import tombstone


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView


def make_view(register: TicketRegister) -> ConfigurationView:
    return RegisterView(register=register, boot_gate=BootGate())


def names(view: ConfigurationView, service: str = "horaflujo") -> list[str]:
    return [server.name for server in view.backend_servers(service)]


def test_view_lists_entries_in_force_by_name() -> None:
    register = TicketRegister()
    register.merge([backend_server_entry(1, name="b"), service_entry(1, name="x")])
    view = make_view(register)

    register.merge(
        [backend_server_entry(2, name="a"), service_entry(2, name="boletin")]
    )

    assert names(view) == ["a", "b"]
    assert [service.name for service in view.services()] == ["boletin", "x"]
    assert view.service("x") is not None
    assert view.service("y") is None


def test_backend_server_moves_between_services() -> None:
    register = TicketRegister()
    view = make_view(register)
    register.merge([backend_server_entry(1, name=name) for name in ("a", "b")])

    register.merge([backend_server_entry(2, name="a", service="boletin")])

    assert names(view) == ["b"]
    assert names(view, "boletin") == ["a"]


def test_removed_keys_leave_the_view() -> None:
    register = TicketRegister()
    view = make_view(register)
    register.merge([service_entry(1), service_entry(1, name="boletin")])
    register.merge([backend_server_entry(1, name="a")])

    register.merge([tombstone(2)])
    register.merge_snapshot(Snapshot(floor=5, highest_ticket=5, entries=()))

    assert list(view.services()) == []
    assert names(view) == []


async def test_wait_changed_returns_at_the_next_change() -> None:
    register = TicketRegister()
    view = make_view(register)
    seen: list[int] = []

    async def watch() -> None:
        await view.wait_changed()
        seen.append(register.highest_ticket)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.testing.wait_all_tasks_blocked()
        register.merge([service_entry(3)])

    assert seen == [3]
