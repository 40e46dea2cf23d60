"""The balancers of an emulated site."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir_balancer.forwarding import BalancerTransport
from oleanderweir_balancer.forwarding import PacketBalancer
from oleanderweir_balancer.forwarding import PacketBalancerSettings
from oleanderweir_balancer.forwarding import PlacementPolicy
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import FLOW_TTL_S
from oleanderweir_bench.packet_path.site_settings import PEER_PORT
from oleanderweir_bench.packet_path.site_settings import TICK_S
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir_bench.packet_path.emulated_codec import EmulatedPacketCodec
    from oleanderweir_bench.packet_path.emulated_peers import EmulatedPeers
    from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter
    from oleanderweir_bench.packet_path.published_state import PublishedState
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


class EmulatedBalancers:
    """Starts and stops the balancers, which are the real code, by host."""

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        random_source: random.Random,
        network: VirtualNetwork,
        codec: EmulatedPacketCodec,
        router: EmulatedRouter,
        published: PublishedState,
        peers: EmulatedPeers,
    ) -> None:
        self.nursery = nursery
        self.random_source = random_source
        self.network = network
        self.codec = codec
        self.router = router
        self.published = published
        self.peers = peers
        self.scopes: dict[str, trio.CancelScope] = {}

    def start(self, host: str) -> None:
        """Start a balancer with an empty cache, and put it into rotation."""
        register = self.published.create_register(host)
        balancer = self._create(host, register)
        register.on_change = balancer.on_state_change
        self.network.listen(
            (host, CALLER_PORT), lambda _, data: balancer.on_caller_packet(data)
        )
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: self.peers.dispatch(host, balancer, source, data),
        )
        scope = self.scopes[host] = trio.CancelScope()
        self.nursery.start_soon(_retry_lookups, balancer, scope)
        if host not in self.router.hosts:
            self.router.hosts.append(host)

    def stop(self, host: str, *, stays_in_rotation: bool = False) -> None:
        """Kill a balancer; with ``stays_in_rotation``, routers keep sending to it."""
        self.scopes[host].cancel()
        self.network.stop_listening((host, CALLER_PORT))
        self.network.stop_listening((host, PEER_PORT))
        if not stays_in_rotation and host in self.router.hosts:
            self.router.hosts.remove(host)

    def _create(self, host: str, register: StateRegister) -> PacketBalancer:
        return PacketBalancer(
            flow_ttl_s=FLOW_TTL_S,
            codec=self.codec,
            register=register,
            members=self.peers.create_members(host),
            placement=PlacementPolicy(
                availability_zone=AVAILABILITY_ZONE,
                random_source=random.Random(self.random_source.random()),
            ),
            transport=BalancerTransport(
                settings=PacketBalancerSettings(
                    caller_port=CALLER_PORT, peer_port=PEER_PORT
                ),
                codec=self.codec,
                register=register,
                socket=cast(
                    "UdpSocket", VirtualSocket(network=self.network, host=host)
                ),
            ),
        )


async def _retry_lookups(balancer: PacketBalancer, scope: trio.CancelScope) -> None:
    with scope:
        while True:
            await trio.sleep(TICK_S)
            balancer.retry_lookups()
