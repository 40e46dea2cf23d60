from __future__ import annotations

from collections import Counter

import pytest
import trio
import trio.testing

from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import PeerRole
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route
from tests.oleanderweir_standins.fleet import Fleet
from tests.oleanderweir_standins.fleet import host_of


# Time for the processes to find each other, and for which calls and datagrams count.
SETTLING_S = 15.0
COUNTING_S = 56.0
READERS = 3
# One watch of each topic in 1.4 s at a reader, one of the desired state in 28 s at the
# others, and a tenth more.
READER_CALLS_PER_S = 2 / 1.4 * 1.1
OTHER_CALLS_PER_S = 1 / 28 * 1.1
# Two for each of its watches at most, when the two topics alternate.
CONFIRMATIONS_PER_S = 2 / 1.4 * 1.1


class CountingFleet(Fleet):
    """Counts the confirmations that each host sends and receives, and all calls."""

    sent: Counter[str]
    received: Counter[str]
    calls = 0

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        self.calls += 1
        return await super().connect(host, port)

    def send(self, host: str, receiver: str, data: bytes) -> None:
        if isinstance(decode_message(data), Confirmation):
            self.sent[host] += 1
            self.received[receiver] += 1
        super().send(host, receiver, data)

    def start_counting(self) -> None:
        self.sent = Counter()
        self.received = Counter()
        self.calls = 0


# Balancers and agents.
@pytest.mark.parametrize(("balancers", "agents"), [(6, 10), (20, 52)])
async def test_a_fleet_at_rest_makes_few_calls_and_sends_few_confirmations(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    balancers: int,
    agents: int,
) -> None:
    async with trio.open_nursery() as nursery:
        fleet = CountingFleet(nursery=nursery, monkeypatch=monkeypatch)
        fleet.start_counting()
        fleet.store.write_routes([make_route(1, "feed")])
        for number in range(balancers + 1, balancers + agents + 1):
            record = make_record(f"b{number}", host=host_of(number))
            fleet.store.write_backend_server(record)
            fleet.start(number, role=PeerRole.AGENT)
        for number in range(1, balancers + 1):
            fleet.start(number)
        await trio.sleep(SETTLING_S)
        fleet.start_counting()

        await trio.sleep(COUNTING_S)

        nursery.cancel_scope.cancel()
    others = balancers + agents - READERS
    calls_per_s = fleet.calls / COUNTING_S
    assert calls_per_s <= READERS * READER_CALLS_PER_S + others * OTHER_CALLS_PER_S
    received_per_s = max(fleet.received.values()) / COUNTING_S
    assert received_per_s <= READERS * CONFIRMATIONS_PER_S
    # A reader sends 16 datagrams of its own, and relays parts of the others'.
    sent_per_s = max(fleet.sent.values()) / COUNTING_S
    assert sent_per_s <= READERS * 16 * CONFIRMATIONS_PER_S
