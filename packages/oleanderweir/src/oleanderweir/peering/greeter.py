"""Tells the other processes of this one, and fetches state that they have."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.peering.exceptions import PeerUnavailableError
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.messages import Greeting
from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members
    from oleanderweir.peering.state_exchange import StateClient


logger = logging.getLogger(__name__)

# A sixth of the lease of a member.
GREETING_INTERVAL_S = 1.0
# While nobody was heard, as after a loss of all power.
LONELY_INTERVAL_S = 0.1
# Others that one greeting names, so that it fits a datagram.
MAX_NAMED_HOSTS = 24
# Members that are greeted each round; a larger fleet is greeted in turn.
MAX_GREETED = 48
# How far the source's state may be ahead before a peer is asked; the own watch is
# usually faster.
FETCH_DELAY_S = 0.15


class Greeter:
    """
    Greets members, seeds and hosts of published backend servers.

    Who greets and is ahead is asked for its state, unless the own watch brings it
    within ``FETCH_DELAY_S``.
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
        self.random_source = random_source
        self.fetching: set[Topic] = set()

    async def run(self) -> None:
        """Greet until cancelled."""
        while True:
            self.members.expire()
            self._greet_all()
            is_lonely = not self.members.hosts(PeerRole.AGENT)
            await trio.sleep(LONELY_INTERVAL_S if is_lonely else GREETING_INTERVAL_S)

    def take(self, host: str, greeting: Greeting, nursery: trio.Nursery) -> None:
        """Take a greeting in; answer it and ask for newer state where due."""
        is_new = host not in self.members.members
        self.members.note(host, greeting)
        if greeting.wants_answer or is_new:
            self.greet(host, wants_answer=False)
        ahead = {
            Topic.DESIRED_STATE: greeting.desired_revision,
            Topic.BACKEND_SERVERS: greeting.backends_revision,
        }
        for topic, revision in ahead.items():
            if revision > self.register.revision(topic) and topic not in self.fetching:
                self.fetching.add(topic)
                nursery.start_soon(self._fetch, host, topic, revision)

    def greet(self, host: str, *, wants_answer: bool) -> None:
        """Send one greeting."""
        message = Greeting(
            role=self.role,
            availability_zone=self.availability_zone,
            service=self.service,
            desired_revision=self.register.changed_revision(Topic.DESIRED_STATE),
            backends_revision=self.register.changed_revision(Topic.BACKEND_SERVERS),
            balancers=self._sample(PeerRole.BALANCER),
            agents=self._sample(PeerRole.AGENT),
            wants_answer=wants_answer,
        )
        self.socket.send_to(encode_message(message), (host, self.port))

    def _greet_all(self) -> None:
        """Greet seeds, members and published hosts; strangers must answer."""
        known = list(self.members.members)
        strangers = {*self.seeds, *self.members.named}
        if self.role is PeerRole.BALANCER:
            strangers.update(r.host for r in self.register.backends.values())
        strangers.difference_update(known)
        strangers.discard(self.members.own_host)
        for host in sorted(strangers)[:MAX_GREETED]:
            self.greet(host, wants_answer=True)
        if len(known) > MAX_GREETED:
            known = self.random_source.sample(known, MAX_GREETED)
        for host in known:
            self.greet(host, wants_answer=False)

    def _sample(self, role: PeerRole) -> tuple[str, ...]:
        hosts = self.members.hosts(role)
        if len(hosts) > MAX_NAMED_HOSTS:
            hosts = self.random_source.sample(hosts, MAX_NAMED_HOSTS)
        return tuple(hosts)

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
