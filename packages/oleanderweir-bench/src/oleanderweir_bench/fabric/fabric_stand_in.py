"""The fabric in front of one service address."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.net import SocketAddress
from oleanderweir_bench.fabric.caller_socket import CallerSocket
from oleanderweir_bench.fabric.caller_socket import open_udp_socket
from oleanderweir_bench.fabric.conditions import Conditions
from oleanderweir_bench.fabric.direction import Direction
from oleanderweir_bench.fabric.fabric_counters import FabricCounters
from oleanderweir_bench.fabric.packet_record import PacketRecord
from oleanderweir_bench.fabric.packet_sender import PacketSender


if TYPE_CHECKING:
    import random
    import socket
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator


MAX_DATAGRAM_BYTES = 65536
MAX_BATCH = 256
IDLE_CHECK_INTERVAL_S = 5.0


def receive_queued(udp: socket.socket) -> Iterator[tuple[bytes, tuple[str, int]]]:
    """Yield at most ``MAX_BATCH`` packets that are queued in a socket."""
    for _ in range(MAX_BATCH):
        try:
            yield udp.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return


class FabricStandIn:
    """
    Sprays the packets of a service address over balancers.

    Each packet of a caller is sent to a balancer drawn from ``random``. The fabric
    opens one socket towards the balancers for each caller and closes it after
    ``idle_timeout_s`` without a packet. Any balancer may send packets to this socket,
    also after its removal. ``record`` is called with every packet to be forwarded,
    before the conditions are applied.
    """

    def __init__(
        self,
        *,
        service_address: SocketAddress,
        balancers: Iterable[SocketAddress] = (),
        random: random.Random,
        conditions: Conditions | None = None,
        idle_timeout_s: float = 120.0,
        record: Callable[[PacketRecord], None] | None = None,
        upstream_host: str = "127.0.0.1",
    ) -> None:
        self.service_address = service_address
        self.balancers: list[SocketAddress] = []
        self.allowed_senders: set[tuple[str, int]] = set()
        self.random = random
        self.conditions = conditions or Conditions()
        self.idle_timeout_s = idle_timeout_s
        self.record = record
        self.upstream_host = upstream_host
        self.counters = FabricCounters()
        self.caller_sockets: dict[tuple[str, int], CallerSocket] = {}
        for balancer in balancers:
            self.add_balancer(balancer)

    def add_balancer(self, balancer: SocketAddress) -> None:
        """Start sending packets to ``balancer``."""
        self.allowed_senders.add(balancer.sockaddr)
        if balancer not in self.balancers:
            self.balancers.append(balancer)

    def remove_balancer(self, balancer: SocketAddress) -> None:
        """Stop sending packets to ``balancer``; its own packets still reach callers."""
        if balancer in self.balancers:
            self.balancers.remove(balancer)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward packets until cancelled; raise ``BindError`` if binding fails."""
        self.socket = open_udp_socket(*self.service_address.sockaddr)
        try:
            async with trio.open_nursery() as self.nursery:
                self.sender = PacketSender(
                    nursery=self.nursery, random=self.random, counters=self.counters
                )
                self.nursery.start_soon(self.close_idle_sockets)
                task_status.started()
                await self.receive_from_callers()
        finally:
            self.socket.close()

    async def receive_from_callers(self) -> None:
        """Forward the packets of callers to balancers."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            for data, caller in receive_queued(self.socket):
                self.forward_to_balancer(data, caller)

    async def receive_from_balancers(self, caller_socket: CallerSocket) -> None:
        """Forward the packets of balancers to one caller."""
        with caller_socket.cancel_scope, caller_socket.socket:
            while True:
                await trio.lowlevel.wait_readable(caller_socket.socket)
                for data, balancer in receive_queued(caller_socket.socket):
                    self.forward_to_caller(data, balancer, caller_socket)

    def forward_to_balancer(self, data: bytes, caller: tuple[str, int]) -> None:
        """Forward one packet of a caller to a random balancer."""
        if not self.balancers:
            self.counters.dropped_without_balancer += 1
            return
        balancer = self.random.choice(self.balancers).sockaddr
        caller_socket = self.caller_sockets.get(caller) or self.open_caller_socket(
            caller
        )
        caller_socket.last_used_at = trio.current_time()
        self.counters.to_balancer += 1
        self.record_packet(Direction.TO_BALANCER, caller, balancer, data)
        self.sender.send(
            caller_socket.socket,
            data,
            balancer,
            hosts=(caller[0], balancer[0]),
            conditions=self.conditions,
        )

    def forward_to_caller(
        self, data: bytes, balancer: tuple[str, int], caller_socket: CallerSocket
    ) -> None:
        """Forward one packet of a balancer to a caller from the service address."""
        if balancer not in self.allowed_senders:
            self.counters.dropped_strange += 1
            return
        caller_socket.last_used_at = trio.current_time()
        self.counters.to_caller += 1
        self.record_packet(Direction.TO_CALLER, caller_socket.caller, balancer, data)
        self.sender.send(
            self.socket,
            data,
            caller_socket.caller,
            hosts=(caller_socket.caller[0], balancer[0]),
            conditions=self.conditions,
        )

    def open_caller_socket(self, caller: tuple[str, int]) -> CallerSocket:
        """Open the socket of a caller that is new or was idle."""
        caller_socket = CallerSocket(
            caller=caller, socket=open_udp_socket(self.upstream_host)
        )
        self.caller_sockets[caller] = caller_socket
        self.nursery.start_soon(self.receive_from_balancers, caller_socket)
        return caller_socket

    def record_packet(
        self,
        direction: Direction,
        caller: tuple[str, int],
        balancer: tuple[str, int],
        data: bytes,
    ) -> None:
        """Call ``record``, if there is one, with a packet."""
        if self.record is None:
            return
        self.record(
            PacketRecord(
                time_s=trio.current_time(),
                direction=direction,
                caller=SocketAddress(host=caller[0], port=caller[1]),
                balancer=SocketAddress(host=balancer[0], port=balancer[1]),
                data=data,
            )
        )

    async def close_idle_sockets(self) -> None:
        """Close the sockets of callers without packets for ``idle_timeout_s``."""
        while True:
            await trio.sleep(min(IDLE_CHECK_INTERVAL_S, self.idle_timeout_s))
            idle_since = trio.current_time() - self.idle_timeout_s
            for caller, caller_socket in list(self.caller_sockets.items()):
                if caller_socket.last_used_at <= idle_since:
                    del self.caller_sockets[caller]
                    caller_socket.cancel_scope.cancel()
