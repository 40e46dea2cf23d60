"""Sends heartbeats to peers, and keeps the published state in step with theirs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Topic
from oleanderweir.peering.exceptions import PeerUnavailableError
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import StateUpdate
from oleanderweir.peering.reader_choice import is_reader


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.desired_state import ReaderStatus
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members
    from oleanderweir.peering.state_exchange import StateClient


logger = logging.getLogger(__name__)

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
# How long a process waits for heartbeats of readers before it watches the backend
# servers itself. Balancers draw a delay up to theirs, so that a fleet that starts at
# once doesn't read all at once. Agents wait much longer, since balancers send them
# every change.
READER_DELAY_S = {PeerRole.BALANCER: 1.0, PeerRole.AGENT: 4.0}
# How long a peer may be ahead before its state is fetched; the watch of this
# process usually delivers the change sooner.
FETCH_DELAY_S = 0.15


class HeartbeatSender:
    """
    Sends heartbeats to members, seeds and hosts of published backend servers.

    Balancers send them to all these hosts, so that each agent can report its load to
    every balancer; agents send them only to seeds and undiscovered hosts, and as
    replies. If a heartbeat shows that its sender is ahead, that peer's state is
    fetched, unless the source delivers it within ``FETCH_DELAY_S``. The few readers,
    which watch the backend servers at the source, send the changes to all others.
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
        self.client = client
        self.status = status
        self.random_source = random_source
        self.fetching: set[Topic] = set()
        self.started_at = float("-inf")
        # Whether this is an agent whose backend server holds no flows.
        self.holds_no_flows: Callable[[], bool] = lambda: False
        # Whether this process read the source at the last update of its status.
        self.is_reading = False
        self.reader_delay_s = READER_DELAY_S[role]
        if role is PeerRole.BALANCER:
            self.reader_delay_s *= random_source.random()

    def update_reader_status(self) -> None:
        """Decide whether to watch the source; announce it once the source responds."""
        self.status.should_read = self._is_reader()
        was_reading, self.is_reading = self.is_reading, self.reads_source
        if self.is_reading and not was_reading:
            self._send_heartbeats()

    @property
    def reads_source(self) -> bool:
        """Whether this process watches the backend servers and the source responds."""
        return self.status.is_connected and self.status.should_read

    def _is_reader(self) -> bool:
        if trio.current_time() - self.started_at < self.reader_delay_s:
            return False
        readers = [
            host
            for host, member in self.members.members.items()
            if member.heartbeat.reads_source
        ]
        if self.role is PeerRole.AGENT:
            # Only balancers send heartbeats to all processes, so most peers don't
            # notice that an agent reads. It reads only while no peer announces that.
            return not readers
        return is_reader(self.members.own_host, readers)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self.started_at = trio.current_time()
        while True:
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
            await trio.sleep(
                DISCOVERY_INTERVAL_S
                if self._needs_fast_discovery()
                else HEARTBEAT_INTERVAL_S
            )
            self.update_reader_status()
            self.discover_peers()

    def _needs_fast_discovery(self) -> bool:
        """Whether this process has no members, or others may be starting with it."""
        age_s = trio.current_time() - self.started_at
        return age_s < STARTUP_S or not self.members.members

    def on_heartbeat(
        self, host: str, heartbeat: Heartbeat, nursery: trio.Nursery
    ) -> None:
        """Record a heartbeat, reply if needed, and fetch the sender's newer state."""
        is_new = host not in self.members.members
        self.members.record_heartbeat(host, heartbeat)
        if heartbeat.requests_reply or is_new:
            self._send_heartbeat(host, requests_reply=False, lists_hosts=True)
        progress = {
            Topic.DESIRED_STATE: heartbeat.desired_version,
            Topic.BACKEND_SERVERS: heartbeat.backends_revision,
        }
        for topic, peer_progress in progress.items():
            self._fetch_if_behind(host, topic, peer_progress, nursery)

    def on_state_update(
        self, host: str, update: StateUpdate, nursery: trio.Nursery
    ) -> None:
        """Apply a change from a reader; fetch all if earlier changes are missing."""
        topic = Topic.BACKEND_SERVERS
        if update.base > self.register.revision(topic):
            self._fetch_if_behind(host, topic, update.revision, nursery)
            return
        change = Change(
            name=update.name, revision=update.revision, document=update.document
        )
        changes = Changes(topic=topic, revision=update.revision, changes=(change,))
        self.register.apply_changes(changes, origin=host)

    def send_changes(self, changes: Changes, *, base: int) -> None:
        """Send changes of the backend servers from the source to all members."""
        if changes.topic is not Topic.BACKEND_SERVERS:
            return
        for change in changes.changes:
            if change.revision <= base:
                continue
            message = encode_message(
                StateUpdate(
                    base=base,
                    revision=change.revision,
                    name=change.name,
                    document=change.document,
                )
            )
            base = change.revision
            for host in self.members.members:
                self.socket.send_to(message, (host, self.port))

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
            reads_source=self.reads_source,
            holds_no_flows=self.holds_no_flows(),
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

    def _progress(self, topic: Topic) -> int:
        """Return what tells how far this process is, in the terms of a heartbeat."""
        if topic is Topic.DESIRED_STATE:
            return self.register.version
        return self.register.revision(topic)

    def _fetch_if_behind(
        self, host: str, topic: Topic, progress: int, nursery: trio.Nursery
    ) -> None:
        if progress > self._progress(topic) and topic not in self.fetching:
            self.fetching.add(topic)
            nursery.start_soon(self._fetch, host, topic, progress)

    async def _fetch(self, host: str, topic: Topic, progress: int) -> None:
        """Fetch a topic from a peer, unless the source delivers it first."""
        try:
            if self._progress(topic) > 0:
                await trio.sleep(FETCH_DELAY_S)
            if self._progress(topic) >= progress:
                return
            listing = await self.client.fetch(host, topic)
            self.register.apply_listing(listing, origin=host)
        except PeerUnavailableError as error:
            logger.warning(
                "could not fetch the published state from a peer",
                extra={"code": error.code, "peer": host, "reason": error.message},
            )
        finally:
            self.fetching.discard(topic)
