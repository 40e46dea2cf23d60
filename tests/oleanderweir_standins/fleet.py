from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir.peering.messages import PeerRole
from oleanderweir_standins import EmulatedTcpStream
from oleanderweir_standins import StoreCondition
from oleanderweir_standins import StoreStandIn
from tests.oleanderweir_standins.fleet_process import FleetProcess


if TYPE_CHECKING:
    import pytest

    from oleanderweir.desired_state import BackendRecord


# Delays before the packets that open a connection, while they aren't answered.
OPENING_DELAYS_S = (0, 1, 2, 4, 8, 16)


class Fleet:
    """
    Processes that follow one store and each other, in memory and in virtual time.

    ``versions`` has the versions in force at each process since its start, in order.
    ``records`` has what each process knew of each backend server since its start.
    Datagrams are delivered at once unless ``max_delay_s`` is set, and a share of them
    is lost at random. A host in ``cut_hosts`` reaches no peer.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        monkeypatch: pytest.MonkeyPatch,
        random_source: random.Random | None = None,
    ) -> None:
        self.nursery = nursery
        self.random_source = random_source or random.Random(1)
        self.store = StoreStandIn(nursery=nursery)
        self.processes: dict[str, FleetProcess] = {}
        self.versions: dict[str, list[int]] = {}
        self.records: dict[tuple[str, str], list[BackendRecord]] = {}
        self.max_delay_s = 0.0
        self.loss = 0.0
        self.cut_hosts: set[str] = set()
        # The connections to the store that are not closed, with their ports.
        self.store_streams: dict[EmulatedTcpStream, int] = {}
        # Times of all fetches from peers.
        self.fetched_at: list[float] = []
        monkeypatch.setattr(trio, "open_tcp_stream", self.connect)

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """
        Connect the caller to the store, which knows each process by its port.

        Opening packets that are dropped are sent again, as by a kernel.
        """
        for delay_s in OPENING_DELAYS_S:
            await trio.sleep(delay_s)
            if self.store.conditions[port] is not StoreCondition.UNREACHABLE:
                return self._open_store_stream(port)
        raise TimeoutError("the store is unreachable")

    def _open_store_stream(self, port: int) -> EmulatedTcpStream:
        client_end, server_end = trio.testing.memory_stream_pair()
        server_stream = cast("trio.SocketStream", server_end)
        stream = EmulatedTcpStream(stream=client_end)
        self.store_streams[stream] = port
        self.nursery.start_soon(self._serve_store, port, server_stream, stream)
        return stream

    async def _serve_store(
        self, port: int, server_stream: trio.SocketStream, stream: EmulatedTcpStream
    ) -> None:
        await self.store._serve(port, server_stream)
        self.store_streams.pop(stream)

    def silence_connections(self, number: int | None = None) -> None:
        """Deliver nothing more on open connections of all processes, or of one."""
        for stream, port in self.store_streams.items():
            if number in (None, port) and not stream.is_silent:
                self.nursery.start_soon(stream.run_silent)

    def suspend(self, number: int) -> None:
        """Have a process make no call of the store, and send and receive nothing."""
        self.cut_hosts.add(host_of(number))
        self.processes[host_of(number)].source.awake = trio.Event()

    def wake(self, number: int, *, reaches_peers: bool) -> None:
        """Have a suspended process continue, with or without its peers."""
        if reaches_peers:
            self.cut_hosts.discard(host_of(number))
        process = self.processes[host_of(number)]
        process.source.awake.set()
        # As the check of the clock does.
        process.heartbeat_sender.on_standstill()
        process.interrupt_watches()

    async def cut(self, number: int, *, for_s: float) -> None:
        """Cut a process off from its peers and the store."""
        self.cut_hosts.add(host_of(number))
        self.store.conditions[number] = StoreCondition.UNREACHABLE
        self.silence_connections(number)
        await trio.sleep(for_s)
        self.store.conditions[number] = StoreCondition.SERVING
        self.cut_hosts.discard(host_of(number))

    def set_conditions(self, condition: StoreCondition) -> None:
        """Change how the store serves all processes whose calls it doesn't reject."""
        for number, before in self.store.conditions.items():
            if before is not StoreCondition.BUSY:
                self.store.conditions[number] = condition

    def start(
        self,
        number: int,
        *,
        condition: StoreCondition = StoreCondition.SERVING,
        role: PeerRole = PeerRole.BALANCER,
    ) -> None:
        self.store.conditions[number] = condition
        host = host_of(number)
        process = FleetProcess(fleet=self, host=host, store_port=number, role=role)
        self.processes[host] = process
        self.nursery.start_soon(process.run)

    def kill(self, number: int) -> None:
        self.processes.pop(host_of(number)).scope.cancel()

    def can_reach(self, host: str, other: str) -> bool:
        return other in self.processes and not self.cut_hosts & {host, other}

    def send(self, host: str, receiver: str, data: bytes) -> None:
        """Deliver a datagram now or later, or lose it."""
        is_lost = self.random_source.random() < self.loss
        if is_lost or not self.can_reach(host, receiver):
            return
        if self.max_delay_s:
            self.nursery.start_soon(self._deliver_later, host, receiver, data)
        else:
            self.processes[receiver].receive(host, data)

    async def _deliver_later(self, host: str, receiver: str, data: bytes) -> None:
        await trio.sleep(self.random_source.uniform(0.0, self.max_delay_s))
        if self.can_reach(host, receiver):
            self.processes[receiver].receive(host, data)

    async def stand_by(self, version: int, *, within_s: float) -> None:
        """Wait until all processes have a version, at most for some seconds."""
        with trio.fail_after(within_s):
            while any(p.register.version != version for p in self.processes.values()):
                await trio.sleep(0.01)

    @property
    def version(self) -> int:
        """The version that the operator wrote last."""
        return int(self.store.writers.desired_state["Version"])

    def regressions(self) -> dict[str, list[int]]:
        """Return the versions of the processes where one followed a higher one."""
        return {
            host: versions
            for host, versions in self.versions.items()
            if versions != sorted(versions)
        }


def host_of(number: int) -> str:
    return f"10.1.0.{number}"
