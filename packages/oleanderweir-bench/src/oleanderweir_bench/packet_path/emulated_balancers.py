"""The balancers of an emulated site."""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir_balancer.forwarding import BalancerTransport
from oleanderweir_balancer.forwarding import PacketBalancer
from oleanderweir_balancer.forwarding import PacketBalancerSettings
from oleanderweir_balancer.forwarding import PlacementPolicy
from oleanderweir_balancer.forwarding.balancer_program import SEND_INTERVAL_S
from oleanderweir_balancer.forwarding.balancer_program import BalancerProgram
from oleanderweir_balancer.forwarding.send_queue import SendQueue
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import EXPIRY_TICKS
from oleanderweir_bench.packet_path.site_settings import FLOW_TTL_S
from oleanderweir_bench.packet_path.site_settings import GRACE_S
from oleanderweir_bench.packet_path.site_settings import PEER_PORT
from oleanderweir_bench.packet_path.site_settings import TICK_S
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import HeartbeatSender
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
        max_hedged_share: float = 0.0,
    ) -> None:
        self.nursery = nursery
        self.random_source = random_source
        self.network = network
        self.codec = codec
        self.router = router
        self.published = published
        self.peers = peers
        self.max_hedged_share = max_hedged_share
        # Megabits a second of the links of balancers that are started from now on as
        # whole programs.
        self.link_mbps: float | None = None
        self.scopes: dict[str, trio.CancelScope] = {}
        self.running: dict[str, PacketBalancer] = {}
        self.paused: set[str] = set()
        # Since when datagrams have waited in the sockets of a balancer, by host.
        self.bound_at: dict[str, float] = {}

    def start(self, host: str) -> None:
        """Start a balancer with an empty cache, and put it into rotation."""
        register = self.published.create_register(host)
        balancer = self.running[host] = self._create(host, register)
        register.on_change = balancer.on_state_change
        self._listen(host, balancer)
        scope = self.scopes[host] = trio.CancelScope()
        heartbeats = self.peers.heartbeats
        if heartbeats is not None:
            heartbeats.follow_changes(host, balancer.on_state_change)
            sender = heartbeats.senders[host]
            self.nursery.start_soon(self._run_program, host, sender, scope)
            return
        if self.max_hedged_share:
            self.nursery.start_soon(self._run_timers, host, balancer, scope)
        else:
            self.nursery.start_soon(_retry_lookups, balancer, scope)
        if host not in self.router.hosts:
            self.router.hosts.append(host)

    def bind(self, host: str) -> None:
        """Keep the packets to a balancer that is paused or about to start."""
        self.bound_at.setdefault(host, trio.current_time())
        self.network.hold((host, CALLER_PORT))
        self.network.hold((host, PEER_PORT))

    async def pause(self, host: str, seconds: float) -> None:
        """Pause a balancer; datagrams wait in its sockets."""
        balancer = self.running[host]
        self.paused.add(host)
        self.bind(host)
        await trio.sleep(seconds)
        self.paused.discard(host)
        self._listen(host, balancer)

    async def drain(self, host: str) -> None:
        """Wait as a balancer does that is about to stop."""
        program = BalancerProgram(
            balancer=self.running[host],
            packet_socket=cast(
                "UdpSocket", VirtualSocket(network=self.network, host=host)
            ),
            grace_s=GRACE_S,
            clock=trio.current_time,
        )
        await program.drain()

    def stop(self, host: str, *, stays_in_rotation: bool = False) -> None:
        """Kill a balancer; with ``stays_in_rotation``, routers keep sending to it."""
        self.scopes[host].cancel()
        self.paused.discard(host)
        self.running.pop(host, None)
        self.bound_at.pop(host, None)
        self.published.disconnect(host)
        self.network.stop_listening((host, CALLER_PORT))
        self.network.stop_listening((host, PEER_PORT))
        if not stays_in_rotation and host in self.router.hosts:
            self.router.hosts.remove(host)

    def _listen(self, host: str, balancer: PacketBalancer) -> None:
        now = trio.current_time()
        # The longest time for which a datagram may have waited.
        waited_s = now - self.bound_at.pop(host, now)
        for data in self.network.take_held((host, CALLER_PORT)):
            balancer.on_caller_packet(data, waited_s=waited_s)
        self.network.listen(
            (host, CALLER_PORT), lambda _, data: balancer.on_caller_packet(data)
        )
        self.network.listen(
            (host, PEER_PORT),
            lambda source, data: self.peers.dispatch(host, balancer, source, data),
        )

    async def _run_program(
        self, host: str, sender: HeartbeatSender, scope: trio.CancelScope
    ) -> None:
        """Run the periodic work of a balancer's process until the scope is closed."""
        balancer = self.running[host]
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.run)
                if self.max_hedged_share:
                    nursery.start_soon(self._send_hedges, host, balancer)
                if balancer.transport.send_queue is not None:
                    nursery.start_soon(self._send_queued, host, balancer)
                for step in count(1):
                    await trio.sleep(TICK_S)
                    if host in self.paused:
                        continue
                    balancer.retry_lookups()
                    if step % EXPIRY_TICKS == 0:
                        balancer.expire()

    async def _run_timers(
        self, host: str, balancer: PacketBalancer, scope: trio.CancelScope
    ) -> None:
        """Retry lookups and send hedges until the scope is closed."""
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_hedges, host, balancer)
                nursery.start_soon(_retry_lookups, balancer, trio.CancelScope())

    async def _send_hedges(self, host: str, balancer: PacketBalancer) -> None:
        hedger = balancer.hedger
        while True:
            await hedger.wait_for_any()
            await trio.sleep_until(hedger.next_due_at)
            if host in self.paused:
                await trio.sleep(TICK_S)
            else:
                hedger.send_due(now=trio.current_time())

    async def _send_queued(self, host: str, balancer: PacketBalancer) -> None:
        transport = balancer.transport
        while (queue := transport.send_queue) is not None:
            await queue.wait_for_any()
            await trio.sleep(SEND_INTERVAL_S)
            if host not in self.paused:
                transport.send_queued()

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
                send_queue=None
                if self.link_mbps is None
                else SendQueue(link_mbps=self.link_mbps),
            ),
            max_hedged_share=self.max_hedged_share,
        )


async def _retry_lookups(balancer: PacketBalancer, scope: trio.CancelScope) -> None:
    with scope:
        while True:
            await trio.sleep(TICK_S)
            balancer.retry_lookups()
