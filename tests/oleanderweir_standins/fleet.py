from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import trio
import trio.testing

from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import StateFollower
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from oleanderweir.net import SocketAddress
from oleanderweir.peering import HeartbeatSender
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import StateUpdate
from oleanderweir_platform.store_client import StoreClient
from oleanderweir_platform.store_documents import StoreDecoder
from oleanderweir_standins import StoreCondition
from oleanderweir_standins import StoreStandIn


if TYPE_CHECKING:
    import pytest

    from oleanderweir.desired_state import Changes
    from oleanderweir.desired_state import Listing
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient


PEER_PORT = 7720


class Fleet:
    """
    Processes that follow one store and each other, in memory and in virtual time.

    ``versions`` has the versions in force at each process since its start, in order.
    """

    def __init__(
        self, *, nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.nursery = nursery
        self.store = StoreStandIn(nursery=nursery)
        self.processes: dict[str, FleetProcess] = {}
        self.versions: dict[str, list[int]] = {}
        monkeypatch.setattr(trio, "open_tcp_stream", self.connect)

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Connect the caller to the store, which knows each process by its port."""
        client_end, server_end = trio.testing.memory_stream_pair()
        server_stream = cast("trio.SocketStream", server_end)
        self.nursery.start_soon(self.store._serve, port, server_stream)
        return client_end

    def start(
        self, number: int, *, condition: StoreCondition = StoreCondition.SERVING
    ) -> None:
        self.store.conditions[number] = condition
        host = f"10.1.0.{number}"
        process = FleetProcess(fleet=self, host=host, store_port=number)
        self.processes[host] = process
        process.start()

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


class FleetProcess:
    def __init__(self, *, fleet: Fleet, host: str, store_port: int) -> None:
        self.fleet = fleet
        self.host = host
        self.fleet.versions[host] = []
        self.register = StateRegister(decoder=StoreDecoder(), on_change=self.on_change)
        address = SocketAddress(host="store", port=store_port)
        source = StoreClient(address=address)
        random_source = random.Random(host)
        statuses = {topic: ReaderStatus() for topic in Topic}
        self.heartbeat_sender = HeartbeatSender(
            role=PeerRole.BALANCER,
            availability_zone="a",
            service="",
            port=PEER_PORT,
            seeds=tuple(f"10.1.0.{number}" for number in range(1, 6)),
            socket=cast("UdpSocket", self),
            members=Members(own_host=host),
            register=self.register,
            client=cast("StateClient", self),
            status=statuses[Topic.BACKEND_SERVERS],
            random_source=random_source,
        )
        self.followers = [
            StateFollower(
                topic=topic,
                source=source,
                register=self.register,
                status=status,
                on_changes=self.send_changes,
                random_source=random_source,
            )
            for topic, status in statuses.items()
        ]
        for follower in self.followers:
            follower.on_watch_lost = self.interrupt_watches

    def send_changes(self, changes: Changes, base: int) -> None:
        self.heartbeat_sender.synchronizer.send_changes(changes, base=base)

    def interrupt_watches(self) -> None:
        for follower in self.followers:
            follower.interrupt_watch()

    def start(self) -> None:
        for follower in self.followers:
            self.fleet.nursery.start_soon(follower.run)
        self.fleet.nursery.start_soon(self.heartbeat_sender.run)

    def on_change(self, topic: Topic) -> None:
        self.fleet.versions[self.host].append(self.register.version)

    def send_to(self, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram, as the socket of this process."""
        receiver = self.fleet.processes.get(address[0])
        if receiver is not None:
            receiver.receive(self.host, data)

    def receive(self, host: str, data: bytes) -> None:
        message = decode_message(data)
        if isinstance(message, Heartbeat):
            self.heartbeat_sender.on_heartbeat(host, message, self.fleet.nursery)
        elif isinstance(message, StateUpdate):
            synchronizer = self.heartbeat_sender.synchronizer
            synchronizer.on_state_update(host, message, self.fleet.nursery)

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Fetch the state of a peer, as the client of this process."""
        await trio.sleep(0.001)
        return self.fleet.processes[host].register.export(topic)
