"""What the processes of an emulated site know of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import Departure
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import SERVICE


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir.peering.messages import Message
    from oleanderweir_agent.forwarding import PacketAgent
    from oleanderweir_balancer.forwarding import PacketBalancer
    from oleanderweir_bench.packet_path.emulated_heartbeats import EmulatedHeartbeats


class EmulatedPeers:
    """
    The members of each process, and the dispatch of messages between processes.

    No heartbeats are sent: a process that starts knows the hosts of the site, and a
    balancer learns of an agent that is added after a random time. Agents don't know
    each other, since they exchange no heartbeats. With ``heartbeats``, processes find
    each other as the programs do.
    """

    def __init__(
        self,
        *,
        balancer_hosts: Sequence[str],
        agent_hosts: Sequence[str],
        random_source: random.Random,
        nursery: trio.Nursery,
        heartbeats: EmulatedHeartbeats | None = None,
    ) -> None:
        self.nursery = nursery
        self.heartbeats = heartbeats
        # The current hosts; the site adds and removes agents.
        self.balancer_hosts = balancer_hosts
        self.agent_hosts = agent_hosts
        self.random_source = random_source
        # Members by the host of the process that knows them.
        self.members: dict[str, Members] = {}

    def create_members(self, host: str, *, service: str = "") -> Members:
        """Return members for a process that starts; agents know only balancers."""
        if self.heartbeats is not None:
            role = PeerRole.AGENT if service else PeerRole.BALANCER
            sender = self.heartbeats.create(host, role=role, service=service)
            self.members[host] = sender.members
            return sender.members
        members = self.members[host] = Members(own_host=host)
        agents = self.agent_hosts if host in self.balancer_hosts else []
        for other in (*self.balancer_hosts, *agents):
            members.record_heartbeat(other, self._create_heartbeat(other))
        return members

    def introduce(self, host: str, *, max_lag_s: float) -> None:
        """Let each balancer learn of a new agent within ``max_lag_s``."""
        if self.heartbeats is not None:
            return
        for process_host, members in list(self.members.items()):
            if process_host in self.balancer_hosts:
                self.nursery.start_soon(
                    self._record_heartbeat_late, members, host, max_lag_s
                )

    def dispatch(
        self,
        host: str,
        process: PacketBalancer | PacketAgent,
        source: str,
        data: bytes,
    ) -> None:
        """Dispatch a message to the process on a host, as a process does."""
        message: Message = decode_message(data)
        if self.heartbeats is not None and isinstance(message, Heartbeat):
            sender = self.heartbeats.senders[host]
            sender.on_heartbeat(source, message, self.nursery)
            return
        if self.heartbeats is not None and isinstance(message, Confirmation):
            sender = self.heartbeats.senders[host]
            sender.on_confirmation(source, message, self.nursery)
            return
        if isinstance(message, Departure):
            self.members[host].record_departure(source)
            return
        self.members[host].record_activity(source)
        process.on_message(source, message)

    async def _record_heartbeat_late(
        self, members: Members, host: str, max_lag_s: float
    ) -> None:
        await trio.sleep(self.random_source.uniform(0, max_lag_s))
        members.record_heartbeat(host, self._create_heartbeat(host))

    def _create_heartbeat(self, host: str) -> Heartbeat:
        is_balancer = host in self.balancer_hosts
        return Heartbeat(
            role=PeerRole.BALANCER if is_balancer else PeerRole.AGENT,
            availability_zone=AVAILABILITY_ZONE,
            service="" if is_balancer else SERVICE,
            desired_version=0,
            backends_revision=0,
            balancers=(),
            agents=(),
            requests_reply=False,
            reads_source=False,
        )
