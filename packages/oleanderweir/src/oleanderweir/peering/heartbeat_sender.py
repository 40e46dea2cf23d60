"""Sends heartbeats to peers, and discovers peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.error_barrier import ErrorBarrier
from oleanderweir.peering.confirmations import Confirmations
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.reader_choice import MAX_CHECK_S
from oleanderweir.peering.reader_choice import ReaderChoice
from oleanderweir.peering.state_synchronizer import StateSynchronizer


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.desired_state import ReaderStatus
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members
    from oleanderweir.peering.messages import Confirmation
    from oleanderweir.peering.state_exchange import StateClient


# Below a third of the lease of a member, and of the time in which a new desired state
# must reach every process.
HEARTBEAT_INTERVAL_S = 2.0
# Between heartbeats to undiscovered hosts while a process starts or has no members.
DISCOVERY_INTERVAL_S = 0.1
# How long a process counts as starting: after a loss of all power, the others start
# within this time.
STARTUP_S = 3.0
# Hosts of each role that one reply lists, so that it fits a datagram.
MAX_LISTED_HOSTS = 24
# Undiscovered hosts that get a heartbeat each round, drawn at random so that each gets
# one sooner or later.
MAX_DISCOVERY_HOSTS = 48


class HeartbeatSender:
    """
    Sends heartbeats to members, seeds and hosts of published backend servers.

    Balancers send them to all these hosts, so that each agent can report its load to
    every balancer; agents send them only to seeds and undiscovered hosts, and as
    replies. Heartbeats tell which state their sender has, and whether it is a reader,
    which watches the backend servers at the source. Besides, readers confirm their
    state after each response of the source.
    """

    def __init__(
        self,
        *,
        role: PeerRole,
        availability_zone: str,
        service: str,
        port: int,
        seeds: Sequence[str],
        socket: UdpSocket,
        members: Members,
        register: StateRegister,
        client: StateClient,
        status: ReaderStatus,
        random_source: random.Random,
    ) -> None:
        self.role = role
        self.availability_zone = availability_zone
        self.service = service
        self.port = port
        self.seeds = seeds
        self.socket = socket
        self.members = members
        self.register = register
        self.status = status
        self.random_source = random_source
        self.started_at = float("-inf")
        self.barrier = ErrorBarrier(place="heartbeat")
        # Whether this is an agent whose backend server holds no flows.
        self.holds_no_flows: Callable[[], bool] = lambda: False
        # Called when this process begins to read while calls are waiting, or when its
        # state is no longer proved although it reads: they may wait long, or in vain.
        self.on_unproved: Callable[[], None] = lambda: None
        self.confirmations = Confirmations(
            port=port, socket=socket, members=members, register=register
        )
        self.reader_choice = ReaderChoice(
            role=role,
            members=members,
            register=register,
            status=status,
            freshness=self.confirmations.freshness,
            random_source=random_source,
        )
        self.synchronizer = StateSynchronizer(
            port=port,
            socket=socket,
            members=members,
            register=register,
            client=client,
        )

    @property
    def age_s(self) -> float:
        """The time since the start of the process."""
        return trio.current_time() - self.started_at

    def update_reader_status(self) -> None:
        """Decide whether to watch the source; announce it once the source responds."""
        choice = self.reader_choice
        was_reading, was_catching_up = choice.is_reading, choice.is_catching_up
        was_distributor = choice.is_distributor
        choice.update(age_s=self.age_s)
        if choice.is_reading and not was_reading:
            self._send_heartbeats()
            self.confirmations.confirm()
        begins = choice.is_distributor and not was_distributor
        begins |= choice.is_catching_up and not was_catching_up
        if begins and not self.status.is_waiting:
            # Its follower is in a call, and doesn't notice that it begins to read.
            self.on_unproved()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self.started_at = trio.current_time()
        while True:
            with self.barrier:
                self.members.expire()
                self.update_reader_status()
                self.discover_peers()
                self._send_heartbeats()
            await self._sleep_until_next_round()

    async def _sleep_until_next_round(self) -> None:
        """
        Wait for the next round, and continue discovery in the meantime.

        Discovery is faster while the process starts or has no members.
        """
        next_at = trio.current_time() + HEARTBEAT_INTERVAL_S
        while trio.current_time() < next_at:
            await self._check_reading_for(
                DISCOVERY_INTERVAL_S
                if self._needs_fast_discovery()
                else HEARTBEAT_INTERVAL_S
            )
            with self.barrier:
                self.discover_peers()

    async def _check_reading_for(self, seconds: float) -> None:
        """Check for some seconds whether this process has to read the source."""
        end_at = trio.current_time() + seconds
        while (remaining_s := end_at - trio.current_time()) > 0:
            pause_s = MAX_CHECK_S
            with self.barrier:
                pause_s = self.reader_choice.next_check_s()
            await trio.sleep(min(remaining_s, pause_s))
            with self.barrier:
                self.update_reader_status()

    def _needs_fast_discovery(self) -> bool:
        """Whether this process has no members, or others may be starting with it."""
        return self.age_s < STARTUP_S or not self.members.members

    def on_heartbeat(
        self, host: str, heartbeat: Heartbeat, nursery: trio.Nursery
    ) -> None:
        """Record a heartbeat, reply if needed, and fetch the sender's newer state."""
        is_new = host not in self.members.members
        self.members.record_heartbeat(host, heartbeat)
        if heartbeat.requests_reply or is_new:
            self._send_heartbeat(host, requests_reply=False, lists_hosts=True)
            if self.reader_choice.is_distributor:
                self.confirmations.confirm_to(host)
        self.synchronizer.on_heartbeat(host, heartbeat, nursery)

    def on_confirmation(
        self, host: str, confirmation: Confirmation, nursery: trio.Nursery
    ) -> None:
        """Record and relay a confirmation; fetch the reader's state if it is newer."""
        self.members.record_activity(host)
        self.confirmations.on_confirmation(host, confirmation)
        self.synchronizer.on_confirmation(host, confirmation, nursery)

    def on_source_response(self, topic: Topic, proved_at: float) -> None:
        """Record that the state of a topic was that of the source at a time."""
        self.confirmations.on_response(
            topic,
            proved_at=proved_at,
            is_distributor=self.reader_choice.is_distributor,
        )
        if self.reader_choice.is_catching_up:
            # One proof is enough.
            self.update_reader_status()

    def on_standstill(self) -> None:
        """Prove the state anew, since this process stood still."""
        self.confirmations.freshness.forget()

    def request_confirmations(self) -> None:
        """Send heartbeats that request a reply to the known readers, which confirm."""
        for host in sorted(self.confirmations.freshness.confirmed_at):
            self._send_heartbeat(host, requests_reply=True, lists_hosts=False)

    def on_state_change(self, topic: Topic) -> None:
        """
        Send heartbeats to new hosts; as a reader, announce a new desired state.

        The watches of members may not deliver it in time. Evacuation orders belong to
        that topic.
        """
        self.discover_peers()
        if topic is Topic.DESIRED_STATE and self.reader_choice.is_distributor:
            self._send_heartbeats()

    def _send_heartbeat(
        self, host: str, *, requests_reply: bool, lists_hosts: bool
    ) -> None:
        """Send one heartbeat."""
        message = Heartbeat(
            role=self.role,
            availability_zone=self.availability_zone,
            service=self.service,
            desired_version=self.register.version,
            backends_revision=self.register.changed_revision(Topic.BACKEND_SERVERS),
            balancers=self._sample(PeerRole.BALANCER) if lists_hosts else (),
            agents=self._sample(PeerRole.AGENT) if lists_hosts else (),
            requests_reply=requests_reply,
            reads_source=self.reader_choice.reads_source,
            holds_no_flows=self.holds_no_flows(),
            evacuations_revision=self.register.evacuations_revision,
        )
        self.socket.send_to(encode_message(message), (host, self.port))

    def discover_peers(self) -> None:
        """Send heartbeats that request a reply to hosts that are not members yet."""
        undiscovered = {*self.seeds, *self.members.candidates}
        if self.role is PeerRole.BALANCER:
            undiscovered.update(r.host for r in self.register.backends.values())
        undiscovered.difference_update(self.members.members)
        undiscovered.discard(self.members.own_host)
        chosen = sorted(undiscovered)
        if len(chosen) > MAX_DISCOVERY_HOSTS:
            chosen = self.random_source.sample(chosen, MAX_DISCOVERY_HOSTS)
        for host in chosen:
            self._send_heartbeat(host, requests_reply=True, lists_hosts=False)

    def _send_heartbeats(self) -> None:
        """Send heartbeats to all members; only balancers do so."""
        if self.role is PeerRole.BALANCER:
            for host in self.members.members:
                self._send_heartbeat(host, requests_reply=False, lists_hosts=False)

    def _sample(self, role: PeerRole) -> tuple[str, ...]:
        hosts = self.members.hosts(role)
        if len(hosts) > MAX_LISTED_HOSTS:
            hosts = self.random_source.sample(hosts, MAX_LISTED_HOSTS)
        return tuple(hosts)
