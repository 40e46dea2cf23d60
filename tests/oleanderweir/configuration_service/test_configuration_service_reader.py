from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
import pytest

from oleanderweir.configuration_service import ConfigurationServiceReader
from oleanderweir.configuration_service import InvalidServiceResponseError
from oleanderweir.configuration_service import ServiceUnavailableError
from oleanderweir.configuration_service.messages import PublishedEntry
from oleanderweir.configuration_service.messages import PublishedTicket
from oleanderweir.configuration_service.messages import SnapshotPart
from oleanderweir.configuration_service.messages import TicketPage
from oleanderweir.tickets import InvalidSnapshotError
from oleanderweir.tickets import Ticket
from tests.oleanderweir.configuration_service.fakes import scripted_client
from tests.oleanderweir.tickets.values import service_entry
from tests.oleanderweir.tickets.values import tombstone


if TYPE_CHECKING:
    import trio


HORAFLUJO = PublishedEntry(
    key="service/horaflujo", ticket=4, value={"address": "192.0.2.1:443"}
)
BOLETIN = PublishedEntry(key="service/boletin", ticket=8, value=None)
FIRST = SnapshotPart(
    floor=2, highest_ticket=9, part=0, parts=2, entry_count=2, entries=(HORAFLUJO,)
)
SECOND = attrs.evolve(FIRST, part=1, entries=(BOLETIN,))


def single_part(*entries: PublishedEntry) -> SnapshotPart:
    return attrs.evolve(FIRST, parts=1, entry_count=len(entries), entries=entries)


def removal(number: int) -> PublishedTicket:
    text = f'{{"ticket": {number}, "services": {{"boletin": null}}}}'
    return PublishedTicket(number=number, text=text)


async def test_snapshot_is_assembled_from_its_parts() -> None:
    service, client = scripted_client(FIRST, SECOND)

    snapshot = await ConfigurationServiceReader(client=client).read_snapshot()

    assert (snapshot.floor, snapshot.highest_ticket) == (2, 9)
    assert snapshot.entries == (service_entry(4), tombstone(8, name="boletin"))
    assert service.requests == ["/v1/snapshot?part=0", "/v1/snapshot?part=1"]


async def test_snapshot_replaced_during_the_read_is_read_again() -> None:
    newer = [attrs.evolve(part, highest_ticket=10) for part in (FIRST, SECOND)]
    _, client = scripted_client(FIRST, newer[1], *newer)

    snapshot = await ConfigurationServiceReader(client=client).read_snapshot()

    assert snapshot.highest_ticket == 10


async def test_snapshot_replaced_during_every_read_is_an_error() -> None:
    _, client = scripted_client(*[FIRST, attrs.evolve(SECOND, floor=3)] * 3)

    with pytest.raises(ServiceUnavailableError, match="snapshot was replaced"):
        await ConfigurationServiceReader(client=client).read_snapshot()


@pytest.mark.parametrize(
    "part",
    [
        attrs.evolve(single_part(HORAFLUJO), entry_count=2),
        single_part(HORAFLUJO, HORAFLUJO),
        single_part(attrs.evolve(HORAFLUJO, ticket=0)),
        single_part(attrs.evolve(HORAFLUJO, ticket=10)),
        single_part(attrs.evolve(HORAFLUJO, key="service/A")),
        single_part(attrs.evolve(HORAFLUJO, value={})),
        single_part(attrs.evolve(HORAFLUJO, value={"address": "0.0.0.0:1"})),
    ],
    ids=[
        "missing-entry",
        "duplicate-key",
        "ticket-zero",
        "ticket-too-new",
        "invalid-name",
        "no-address",
        "invalid-address",
    ],
)
async def test_invalid_snapshot_is_rejected_as_a_whole(part: SnapshotPart) -> None:
    _, client = scripted_client(part)

    with pytest.raises(InvalidSnapshotError):
        await ConfigurationServiceReader(client=client).read_snapshot()


@pytest.mark.parametrize("change", [{"parts": 0}, {"parts": 65}, {"part": 1}])
async def test_parts_with_wrong_numbers_are_rejected(change: dict[str, Any]) -> None:
    _, client = scripted_client(attrs.evolve(FIRST, **change))

    with pytest.raises(InvalidServiceResponseError, match="publish"):
        await ConfigurationServiceReader(client=client).read_snapshot()


async def test_snapshot_of_a_later_release_is_read() -> None:
    value = {"address": "192.0.2.1:443", "colour": "blue"}
    other = PublishedEntry(key="region/south", ticket=3, value={})
    _, client = scripted_client(
        single_part(attrs.evolve(HORAFLUJO, value=value), other)
    )

    snapshot = await ConfigurationServiceReader(client=client).read_snapshot()

    (entry,) = snapshot.entries
    assert entry.document == value | {"name": "horaflujo"}


async def test_rejected_tickets_are_returned_without_entries(
    caplog: pytest.LogCaptureFixture,
) -> None:
    page = TicketPage(
        highest_ticket=9,
        tickets=(
            removal(5),
            PublishedTicket(number=6, text='{"ticket": 6}'),
            PublishedTicket(number=7, text=removal(8).text),
        ),
    )
    _, client = scripted_client(page)

    tickets = await ConfigurationServiceReader(client=client).read_tickets(4)

    assert tickets == (
        Ticket(number=5, entries=(tombstone(5, name="boletin"),)),
        Ticket(number=6, entries=()),
        Ticket(number=7, entries=()),
    )
    assert "ticket 6 is rejected: [invalid_ticket] ticket: has no entries" in (
        caplog.text
    )
    assert "ticket 7 is rejected: its text has number 8" in caplog.text


async def test_tickets_out_of_order_are_rejected() -> None:
    page = TicketPage(highest_ticket=9, tickets=(removal(6), removal(5)))
    _, client = scripted_client(page)

    with pytest.raises(InvalidServiceResponseError, match="in increasing order"):
        await ConfigurationServiceReader(client=client).read_tickets(4)


async def test_watch_is_one_call_that_is_not_retried(
    autojump_clock: trio.testing.MockClock,
) -> None:
    service, client = scripted_client(503)

    with pytest.raises(ServiceUnavailableError):
        await ConfigurationServiceReader(client=client).watch_tickets(4)

    assert service.requests == ["/v1/tickets?after=4&wait_s=30"]
