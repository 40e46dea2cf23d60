from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir_balancer.forwarding import BalancerTransport
from oleanderweir_balancer.forwarding import PacketBalancer
from oleanderweir_balancer.forwarding import PacketBalancerSettings
from oleanderweir_balancer.forwarding import PlacementPolicy
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import EmulatedPacketCodec
from tests.oleanderweir.flows.fakes import FakeSocket


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.messages import ReturnReason


CALLER_PORT = 8172
PEER_PORT = 7720
# Backend servers of two services.
MIXED = {
    "b1": backend_document(host="10.0.0.1", service="feed"),
    "b2": backend_document(host="10.0.0.3", service="archive"),
}
LARGE_FLEET = tuple(f"10.0.0.{n}" for n in range(1, 41))


class BalancerBench:
    """A balancer with a fake socket that records its datagrams."""

    def __init__(
        self,
        *,
        hosts: tuple[str, ...] = ("10.0.0.1", "10.0.0.2"),
        max_hedged_share: float = 0.0,
    ) -> None:
        self.socket = FakeSocket()
        self.register = make_register()
        self.members = Members(own_host="10.0.9.9")
        self.placement = PlacementPolicy(
            availability_zone="a", random_source=random.Random(1)
        )
        self.balancer = PacketBalancer(
            flow_ttl_s=60.0,
            codec=EmulatedPacketCodec(),
            register=self.register,
            members=self.members,
            placement=self.placement,
            transport=BalancerTransport(
                settings=PacketBalancerSettings(
                    caller_port=CALLER_PORT, peer_port=PEER_PORT
                ),
                codec=EmulatedPacketCodec(),
                register=self.register,
                socket=cast("UdpSocket", self.socket),
            ),
            max_hedged_share=max_hedged_share,
        )
        self.hosts = hosts

    def publish(self, **arguments: object) -> None:
        backends = {
            f"b{number}": backend_document(host=host)
            for number, host in enumerate(self.hosts)
        }
        publish(self.register, **{"backends": backends, **arguments})  # type: ignore[arg-type]

    def report(self, host: str, *, busy: int = 0) -> None:
        message = LoadReport(
            service="feed",
            busy=busy,
            flows=busy,
            busy_mean=float(busy),
            service_ms=50.0,
            is_accepting=True,
        )
        self.balancer.on_message(host, message)

    def return_packet(
        self,
        host: str,
        reason: ReturnReason,
        data: bytes,
        *,
        hosts: tuple[str, ...] = (),
        is_port_used: bool = False,
    ) -> None:
        message = ReturnedPacket(
            reason=reason, data=data, hosts=hosts, is_port_used=is_port_used
        )
        self.balancer.on_message(host, message)

    def deliveries(self) -> list[tuple[str, Delivery]]:
        """Return the deliveries sent to agents; discard the other sent datagrams."""
        found = []
        for data, (host, port) in self.socket.pop_sent():
            if port == PEER_PORT:
                message = decode_message(data)
                assert isinstance(message, Delivery)
                found.append((host, message))
        return found

    def resets(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return the datagrams sent to callers; discard the other sent ones."""
        return [sent for sent in self.socket.pop_sent() if sent[1][1] == CALLER_PORT]


def make_agent_heartbeat(*, holds_no_flows: bool = False) -> Heartbeat:
    return Heartbeat(
        role=PeerRole.AGENT,
        availability_zone="a",
        service="feed",
        desired_version=0,
        backends_revision=0,
        balancers=(),
        agents=(),
        requests_reply=False,
        reads_source=False,
        holds_no_flows=holds_no_flows,
    )
