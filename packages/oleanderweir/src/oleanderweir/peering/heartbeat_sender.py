"""Tells the other processes of this one, and keeps the published state in step."""

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

# Below a third of the lease of a member, and of the time for a new desired state.
HEARTBEAT_INTERVAL_S = 2.0
# Between greetings of strangers while a process is new or hears nobody.
EAGER_INTERVAL_S = 0.1
# How long a process is new: the others start within this time after a loss of power.
EAGER_S = 3.0
# Others that one answer names, so that it fits a datagram.
MAX_NAMED_HOSTS = 24
# Strangers that are greeted each round; which ones is drawn, so that all come in turn.
MAX_STRANGERS = 48
# How long a process listens for readers of the backend servers before it reads them
# itself; balancers draw a time up to theirs, so that a whole fleet that starts doesn't
# read. Agents take much longer, since balancers tell them of every change.
READER_PATIENCE_S = {PeerRole.BALANCER: 1.0, PeerRole.AGENT: 4.0}
# How far a peer may be ahead before it is asked; the own watch is usually faster.
FETCH_DELAY_S = 0.15


class HeartbeatSender:
    """
    Greets members, seeds and hosts of published backend servers.

    Balancers greet every process that they know, so that each agent knows whom to
    report its load to; agents greet only seeds and strangers. Who greets and is ahead
    is asked for its state, unless it comes within ``FETCH_DELAY_S`` by itself. Changes
    of the backend servers are passed on by the few processes that read them at the
    source.
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
        # Tells whether this is an agent whose backend server has ended.
        self.holds_nothing: Callable[[], bool] = lambda: False
        # Whether the others were told that this process reads.
        self.is_reading = False
        self.patience_s = READER_PATIENCE_S[role]
        if role is PeerRole.BALANCER:
            self.patience_s *= random_source.random()

    def choose_reader(self) -> None:
        """Decide whether this process follows the backend servers at the source."""
        self.status.should_read = self._is_reader()
        was_reading, self.is_reading = self.is_reading, self.reads_source
        if self.is_reading and not was_reading:
            self._greet_known()

    @property
    def reads_source(self) -> bool:
        """Whether this process follows the backend servers, and is answered."""
        return self.status.is_connected and self.status.should_read

    def _is_reader(self) -> bool:
        if trio.current_time() - self.started_at < self.patience_s:
            return False
        readers = [
            host
            for host, member in self.members.members.items()
            if member.heartbeat.reads_source
        ]
        if self.role is PeerRole.AGENT:
            # Only balancers keep in touch with all; an agent reads for itself alone.
            return not readers
        return is_reader(self.members.own_host, readers)

    async def run(self) -> None:
        """Greet until cancelled."""
        self.started_at = trio.current_time()
        while True:
            self.members.expire()
            self.choose_reader()
            self.greet_strangers()
            self._greet_known()
            await self._sleep_until_next_round()

    async def _sleep_until_next_round(self) -> None:
        """Wait a round; go on greeting strangers while the process is new or alone."""
        next_at = trio.current_time() + HEARTBEAT_INTERVAL_S
        while trio.current_time() < next_at:
            await trio.sleep(
                EAGER_INTERVAL_S if self._is_eager() else HEARTBEAT_INTERVAL_S
            )
            self.choose_reader()
            self.greet_strangers()

    def _is_eager(self) -> bool:
        """Whether others may be starting too, as after a loss of all power."""
        age_s = trio.current_time() - self.started_at
        return age_s < EAGER_S or not self.members.members

    def take(self, host: str, heartbeat: Heartbeat, nursery: trio.Nursery) -> None:
        """Take a greeting in; answer it and ask for newer state where due."""
        is_new = host not in self.members.members
        self.members.note(host, heartbeat)
        if heartbeat.wants_answer or is_new:
            self._greet(host, wants_answer=False, names=True)
        ahead = {
            Topic.DESIRED_STATE: heartbeat.desired_revision,
            Topic.BACKEND_SERVERS: heartbeat.backends_revision,
        }
        for topic, revision in ahead.items():
            self._ask_if_behind(host, topic, revision, nursery)

    def take_update(
        self, host: str, update: StateUpdate, nursery: trio.Nursery
    ) -> None:
        """Apply a change that a reader passed on, or ask it for all."""
        topic = Topic.BACKEND_SERVERS
        if update.base > self.register.revision(topic):
            self._ask_if_behind(host, topic, update.revision, nursery)
            return
        change = Change(
            name=update.name, revision=update.revision, document=update.document
        )
        changes = Changes(topic=topic, revision=update.revision, changes=(change,))
        self.register.apply_changes(changes, origin=host)

    def pass_on(self, changes: Changes, *, base: int) -> None:
        """Tell every member of changes that the source told."""
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

    def _greet(self, host: str, *, wants_answer: bool, names: bool) -> None:
        """Send one greeting."""
        message = Heartbeat(
            role=self.role,
            availability_zone=self.availability_zone,
            service=self.service,
            desired_revision=self.register.changed_revision(Topic.DESIRED_STATE),
            backends_revision=self.register.changed_revision(Topic.BACKEND_SERVERS),
            balancers=self._sample(PeerRole.BALANCER) if names else (),
            agents=self._sample(PeerRole.AGENT) if names else (),
            wants_answer=wants_answer,
            reads_source=self.reads_source,
            holds_nothing=self.holds_nothing(),
        )
        self.socket.send_to(encode_message(message), (host, self.port))

    def greet_strangers(self) -> None:
        """Greet seeds and published hosts that weren't heard yet; they must answer."""
        strangers = {*self.seeds, *self.members.named}
        if self.role is PeerRole.BALANCER:
            strangers.update(r.host for r in self.register.backends.values())
        strangers.difference_update(self.members.members)
        strangers.discard(self.members.own_host)
        chosen = sorted(strangers)
        if len(chosen) > MAX_STRANGERS:
            chosen = self.random_source.sample(chosen, MAX_STRANGERS)
        for host in chosen:
            self._greet(host, wants_answer=True, names=False)

    def _greet_known(self) -> None:
        """Greet the members, if this role keeps in touch with them."""
        if self.role is PeerRole.BALANCER:
            for host in self.members.members:
                self._greet(host, wants_answer=False, names=False)

    def _sample(self, role: PeerRole) -> tuple[str, ...]:
        hosts = self.members.hosts(role)
        if len(hosts) > MAX_NAMED_HOSTS:
            hosts = self.random_source.sample(hosts, MAX_NAMED_HOSTS)
        return tuple(hosts)

    def _ask_if_behind(
        self, host: str, topic: Topic, revision: int, nursery: trio.Nursery
    ) -> None:
        if revision > self.register.revision(topic) and topic not in self.fetching:
            self.fetching.add(topic)
            nursery.start_soon(self._fetch, host, topic, revision)

    async def _fetch(self, host: str, topic: Topic, revision: int) -> None:
        """Ask a peer for a topic, unless the source brings it first."""
        try:
            if self.register.revision(topic) > 0:
                await trio.sleep(FETCH_DELAY_S)
            if self.register.revision(topic) >= revision:
                return
            listing = await self.client.fetch(host, topic)
            self.register.apply_listing(listing, origin=host)
        except PeerUnavailableError as error:
            logger.warning(
                "a peer gave no state",
                extra={"code": error.code, "peer": host, "reason": error.message},
            )
        finally:
            self.fetching.discard(topic)
