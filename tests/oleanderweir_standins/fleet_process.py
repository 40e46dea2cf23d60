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
from oleanderweir.peering import PeerUnavailableError
from oleanderweir.peering import decode_message
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import StateUpdate
from oleanderweir.peering.report_interval import KEEPALIVE_S
from oleanderweir.peering.state_exchange import REQUEST_TIMEOUT_S
from oleanderweir.peering.state_exchange import encode_listing
from oleanderweir.peering.state_exchange import receive_listing
from oleanderweir_platform.store_client import StoreClient
from oleanderweir_platform.store_documents import StoreDecoder
from tests.oleanderweir_standins.suspendable_source import SuspendableSource


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendState
    from oleanderweir.desired_state import Changes
    from oleanderweir.desired_state import Listing
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient
    from tests.oleanderweir_standins.fleet import Fleet


PEER_PORT = 7720


class FleetProcess:
    """One process, which follows the store and its peers over the ``Fleet``."""

    def __init__(
        self, *, fleet: Fleet, host: str, store_port: int, role: PeerRole
    ) -> None:
        self.fleet = fleet
        self.host = host
        self.role = role
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.fleet.versions[host] = []
        for key in [key for key in self.fleet.records if key[0] == host]:
            del self.fleet.records[key]
        self.register = StateRegister(decoder=StoreDecoder(), on_change=self.on_change)
        address = SocketAddress(host="store", port=store_port)
        self.source = SuspendableSource(client=StoreClient(address=address))
        random_source = random.Random(host)
        statuses = {topic: ReaderStatus() for topic in Topic}
        self.heartbeat_sender = HeartbeatSender(
            role=role,
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
                source=self.source,
                register=self.register,
                status=status,
                reader_status=statuses[Topic.BACKEND_SERVERS],
                on_changes=self.send_changes,
                random_source=random_source,
            )
            for topic, status in statuses.items()
        ]
        for follower in self.followers:
            follower.on_watch_lost = self.interrupt_watches
            follower.on_response = self.heartbeat_sender.on_source_response
        self.heartbeat_sender.on_unproved = self.interrupt_watches
        desired_status = statuses[Topic.DESIRED_STATE]
        self.heartbeat_sender.reader_choice.does_source_answer = lambda: (
            desired_status.is_connected
        )

    @property
    def backend_states(self) -> dict[str, tuple[BackendState, int]]:
        """States and starts of the published backend servers."""
        return {
            name: (record.state, record.started_at_ms)
            for name, record in self.register.backends.items()
        }

    def send_changes(self, changes: Changes, base: int) -> None:
        if self.heartbeat_sender.reader_choice.is_distributor:
            self.heartbeat_sender.synchronizer.send_changes(changes, base=base)

    def interrupt_watches(self) -> None:
        for follower in self.followers:
            follower.interrupt_watch()

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                for follower in self.followers:
                    self.nursery.start_soon(follower.run)
                self.nursery.start_soon(self.heartbeat_sender.run)
                if self.role is PeerRole.AGENT:
                    self.nursery.start_soon(self._report_load)

    async def _report_load(self) -> None:
        """Send the reports that keep an agent a member of the balancers."""
        report = LoadReport(
            service="feed",
            busy=0,
            flows=0,
            busy_mean=0.0,
            service_ms=0.0,
            is_accepting=True,
        )
        while True:
            await trio.sleep(KEEPALIVE_S)
            for host in self.heartbeat_sender.members.hosts(PeerRole.BALANCER):
                self.send_to(encode_message(report), (host, PEER_PORT))

    def on_change(self, topic: Topic) -> None:
        self.heartbeat_sender.on_state_change(topic)
        self.fleet.versions[self.host].append(self.register.version)
        for name, record in self.register.backends.items():
            known = self.fleet.records.setdefault((self.host, name), [])
            if record not in known[-1:]:
                known.append(record)

    def send_to(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, as the socket of this process."""
        self.fleet.send(self.host, address[0], data)

    def receive(self, host: str, data: bytes) -> None:
        if self.nursery is None:
            return
        message = decode_message(data)
        if isinstance(message, Heartbeat):
            self.heartbeat_sender.on_heartbeat(host, message, self.nursery)
        elif isinstance(message, Confirmation):
            self.heartbeat_sender.on_confirmation(host, message, self.nursery)
        elif isinstance(message, StateUpdate):
            synchronizer = self.heartbeat_sender.synchronizer
            synchronizer.on_state_update(host, message, self.nursery)
        else:
            self.heartbeat_sender.members.record_activity(host)

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Fetch the state of a peer, as the client of this process."""
        self.fleet.fetched_at.append(trio.current_time())
        if not self.fleet.can_reach(self.host, host):
            await trio.sleep(REQUEST_TIMEOUT_S)
            raise PeerUnavailableError("no route to the peer")
        frame = encode_listing(self.fleet.processes[host].register.export(topic))
        await trio.sleep(0.001 + self.fleet.max_delay_s)
        receiver, sender = trio.testing.memory_stream_pair()
        await sender.send_all(frame)
        await sender.aclose()
        return await receive_listing(receiver)
