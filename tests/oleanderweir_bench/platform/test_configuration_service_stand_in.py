from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import httpx
import pytest
import trio
import trio.testing

from oleanderweir.configuration_service import ConfigurationServiceReader
from oleanderweir.configuration_service import InstanceListReader
from oleanderweir.configuration_service import RetryBackoff
from oleanderweir.configuration_service import ServiceClient
from oleanderweir.configuration_service import ServiceThrottledError
from oleanderweir.configuration_service import ServiceUnavailableError
from oleanderweir.tickets import TicketRegister
from oleanderweir_bench.platform import ConfigurationServiceStandIn
from oleanderweir_bench.platform import PublishingError
from oleanderweir_bench.platform import serve_application
from tests.oleanderweir.configuration_service.test_instance_list_reader import RECORD
from tests.oleanderweir.tickets.values import service_key


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.tickets import Ticket


def ticket_text(number: int, *, name: str = "horaflujo", count: int = 1) -> str:
    services = {
        f"{name}-{index}" if index else name: {
            "address": f"192.0.{index // 250}.{index % 250 + 1}:443",
            "feed_paths": [f"/{path}{'x' * 200}" for path in range(16)],
        }
        for index in range(count)
    }
    return json.dumps({"ticket": number, "services": services})


def removal_text(number: int) -> str:
    return json.dumps({"ticket": number, "services": {"horaflujo": None}})


def create_client(stand_in: ConfigurationServiceStandIn) -> ServiceClient:
    transport = httpx.ASGITransport(app=stand_in.application)
    return ServiceClient(
        url="http://platform.example",
        backoff=RetryBackoff(random=random.Random(1)),
        http_client=httpx.AsyncClient(transport=transport, timeout=None),
    )


def create_reader(stand_in: ConfigurationServiceStandIn) -> ConfigurationServiceReader:
    return ConfigurationServiceReader(client=create_client(stand_in))


def ticket_numbers(tickets: Sequence[Ticket]) -> list[int]:
    return [ticket.number for ticket in tickets]


async def test_published_tickets_are_read_in_order() -> None:
    stand_in = ConfigurationServiceStandIn()
    for number in (3, 5, 9):
        stand_in.state.publish(ticket_text(number))

    assert ticket_numbers(await create_reader(stand_in).read_tickets(3)) == [5, 9]


async def test_large_snapshots_are_split_into_parts_below_the_limit() -> None:
    stand_in = ConfigurationServiceStandIn()
    for number in range(1, 5):
        stand_in.state.publish(ticket_text(number, name=f"s-{number}", count=100))
    reader = create_reader(stand_in)
    register = TicketRegister()

    register.merge_snapshot(await reader.read_snapshot())

    assert len(stand_in.state.snapshot_parts(4)) > 1
    assert register.digest() == stand_in.state.register_at(4).digest()
    assert ticket_numbers(await reader.read_tickets(0)) == [1, 2]
    assert ticket_numbers(await reader.read_tickets(2)) == [3, 4]


async def test_watch_returns_when_a_ticket_is_published(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stand_in = ConfigurationServiceStandIn()
    seen: list[int] = []

    async def watch() -> None:
        seen.extend(ticket_numbers(await create_reader(stand_in).watch_tickets(0)))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.sleep(5)
        assert stand_in.meter.waiting_watches == 1
        stand_in.state.publish(ticket_text(3))

    assert seen == [3]
    assert trio.current_time() < 6
    assert await create_reader(stand_in).watch_tickets(3) == ()
    assert stand_in.meter.waiting_watches == 0


async def test_snapshot_contains_the_floor() -> None:
    stand_in = ConfigurationServiceStandIn()
    stand_in.state.publish(ticket_text(3))
    register = TicketRegister()
    register.merge_snapshot(await create_reader(stand_in).read_snapshot())

    stand_in.state.publish(removal_text(4))
    stand_in.state.publish(ticket_text(5, name="boletin"))
    stand_in.state.declare_floor(5)
    register.merge_snapshot(await create_reader(stand_in).read_snapshot())

    assert register.entry(service_key()) is None
    assert register.floor == 5
    with pytest.raises(PublishingError, match="floor 6 is not between 0 and 5"):
        stand_in.state.declare_floor(6)


async def test_stale_service_returns_an_earlier_state() -> None:
    stand_in = ConfigurationServiceStandIn()
    for number in (3, 5):
        stand_in.state.publish(ticket_text(number))
    stand_in.conditions.stale_at = 4
    reader = create_reader(stand_in)

    snapshot = await reader.read_snapshot()

    assert [entry.ticket for entry in snapshot.entries] == [3]
    assert await reader.read_tickets(3) == ()


async def test_service_rejects_reads_when_down_or_over_its_limit(
    autojump_clock: trio.testing.MockClock,
) -> None:
    stand_in = ConfigurationServiceStandIn()
    reader = create_reader(stand_in)
    reader.client.max_attempts = 1
    stand_in.conditions.is_down = True
    with pytest.raises(ServiceUnavailableError):
        await reader.read_tickets(0)

    stand_in.conditions.is_down = False
    stand_in.meter.max_reads_per_s = 1
    with pytest.raises(ServiceThrottledError):
        await reader.read_tickets(0)
    await trio.sleep(1)
    assert await reader.read_tickets(0) == ()

    assert stand_in.meter.calls == {"/v1/tickets": 3}
    assert stand_in.meter.rejected == 1


async def test_watch_ends_when_the_service_goes_down() -> None:
    stand_in = ConfigurationServiceStandIn()

    async def watch() -> None:
        with pytest.raises(ServiceUnavailableError):
            await create_reader(stand_in).watch_tickets(0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        await trio.testing.wait_all_tasks_blocked()
        stand_in.conditions.is_down = True
        stand_in.state.notify()


async def test_instances_are_listed_by_availability_zone() -> None:
    stand_in = ConfigurationServiceStandIn()
    stand_in.state.replace_instances([RECORD])
    client = create_client(stand_in)

    all_instances = await InstanceListReader(client=client).read_instances()
    zone_instances = await InstanceListReader(
        client=client, availability_zone="valpo-a"
    ).read_instances()

    assert all_instances == (RECORD,)
    assert zone_instances == ()


async def test_operators_publish_over_http_and_readers_cannot() -> None:
    stand_in = ConfigurationServiceStandIn()
    http_client = create_client(stand_in).http_client
    base = "http://platform.example"

    accepted = await http_client.post(
        f"{base}/operator/tickets", content=ticket_text(3)
    )
    repeated = await http_client.post(
        f"{base}/operator/tickets", content=ticket_text(3)
    )
    invalid = await http_client.post(f"{base}/operator/tickets", content="{}")
    unchecked = await http_client.post(
        f"{base}/operator/tickets?number=4", content="{}"
    )
    delayed = await http_client.put(
        f"{base}/operator/conditions", json={"delay_s": 0.25}
    )
    reader_post = await http_client.post(f"{base}/v1/tickets", content=ticket_text(5))

    statuses = [
        response.status_code
        for response in (accepted, repeated, invalid, unchecked, delayed)
    ]
    assert statuses == [201, 409, 409, 201, 201]
    assert repeated.json()["code"] == "publishing_refused"
    assert invalid.json()["code"] == "invalid_ticket"
    assert reader_post.status_code == 405
    assert stand_in.conditions.delay_s == 0.25
    counts = await http_client.get(f"{base}/operator/counts")
    assert counts.json()["calls"] == {}


async def test_stand_in_serves_over_a_socket() -> None:
    stand_in = ConfigurationServiceStandIn()
    stand_in.state.publish(ticket_text(3))

    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            lambda task_status: serve_application(
                stand_in.application,
                host="127.0.0.1",
                port=0,
                task_status=task_status,
            )
        )
        client = ServiceClient(
            url=f"http://{address}", backoff=RetryBackoff(random=random.Random(1))
        )
        tickets = await ConfigurationServiceReader(client=client).read_tickets(0)
        await client.aclose()
        nursery.cancel_scope.cancel()

    assert ticket_numbers(tickets) == [3]
