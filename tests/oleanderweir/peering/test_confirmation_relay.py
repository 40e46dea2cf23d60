from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import attrs
import pytest

from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.confirmation_relay import FAN_OUT
from oleanderweir.peering.confirmation_relay import ConfirmationRelay
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import PeerRole
from tests.oleanderweir.flows.fakes import FakeSocket
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket


class RelayFleet:
    """Balancers and agents; ``sent`` and ``received`` count datagrams by host."""

    def __init__(self, *, balancers: int, agents: int) -> None:
        self.balancers = [f"10.1.{n // 250}.{n % 250 + 1}" for n in range(balancers)]
        self.agents = [f"10.2.{n // 250}.{n % 250 + 1}" for n in range(agents)]
        self.sent: dict[str, int] = {}
        self.received: dict[str, int] = {}
        self.lost: set[str] = set()

    def relay_of(self, host: str) -> tuple[ConfirmationRelay, FakeSocket]:
        members = Members(own_host=host)
        for role, hosts in (
            (PeerRole.BALANCER, self.balancers),
            (PeerRole.AGENT, self.agents if host in self.balancers else []),
        ):
            for other in hosts:
                if other != host:
                    members.record_heartbeat(other, make_heartbeat(role=role))
        socket = FakeSocket()
        relay = ConfirmationRelay(
            port=7720, socket=cast("UdpSocket", socket), members=members
        )
        return relay, socket

    def spread(self, reader: str) -> None:
        """Send a confirmation of a reader, and have all others relay it."""
        relay, socket = self.relay_of(reader)
        relay.send_to_all(make_confirmation())
        pending = [(reader, *sent) for sent in socket.pop_sent()]
        while pending:
            sender, data, (host, _) = pending.pop()
            self.sent[sender] = self.sent.get(sender, 0) + 1
            self.received[host] = self.received.get(host, 0) + 1
            if host in self.lost:
                continue
            message = decode_message(data)
            assert isinstance(message, Confirmation)
            relay, socket = self.relay_of(host)
            if message.relay_to == 0:
                continue
            reader_of = message.reader or sender
            relay.relay(sender, attrs.evolve(message, reader=reader_of))
            pending += [(host, *sent) for sent in socket.pop_sent()]


@pytest.mark.parametrize(
    ("balancers", "agents"), [(2, 0), (3, 10), (20, 52), (40, 300), (300, 0)]
)
async def test_each_process_gets_a_confirmation_once(
    balancers: int, agents: int
) -> None:
    fleet = RelayFleet(balancers=balancers, agents=agents)
    reader = fleet.balancers[0]

    fleet.spread(reader)

    expected = {*fleet.balancers, *fleet.agents} - {reader}
    assert fleet.received == dict.fromkeys(expected, 1)
    # A section of agents alone has no relay.
    if agents == 0:
        assert max(fleet.sent.values()) <= FAN_OUT


async def test_most_processes_get_a_confirmation_while_a_quarter_is_lost() -> None:
    fleet = RelayFleet(balancers=40, agents=400)
    readers = fleet.balancers[:3]
    fleet.lost = {*fleet.balancers[10:20], *fleet.agents[:100]}
    for reader in readers:
        fleet.spread(reader)

    alive = {*fleet.balancers, *fleet.agents} - fleet.lost
    missed = alive - fleet.received.keys()

    assert len(missed) <= len(alive) // 20
