"""Lookups of flow owners on behalf of balancers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import Topic
from oleanderweir.flows import describe_flow
from oleanderweir.lookups import OwnerLookup
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import DeliveryPurpose
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport


logger = logging.getLogger(__name__)


class LookupService:
    """
    Queries the agents that may hold a flow, and notifies the requesting balancers.

    In a large fleet, a balancer delegates each lookup to an agent, chosen by the flow.
    The service is the ``LookupTransport`` of its own ``OwnerLookup``.
    """

    def __init__(
        self,
        *,
        codec: PacketCodec,
        register: StateRegister,
        members: Members,
        transport: AgentTransport,
    ) -> None:
        self.codec = codec
        self.transport = transport
        self.owner_lookup = OwnerLookup(
            register=register, members=members, transport=self, use_delegate=False
        )
        self.register = register
        # By flow, the balancers that requested its lookup, each with the revision of
        # the newest change of the backend servers that it had received, or None if it
        # named the agents to query.
        self.requesters: dict[FlowKey, dict[str, int | None]] = {}

    @property
    def has_lookups(self) -> bool:
        """Whether any lookup is in progress."""
        return bool(self.requesters)

    def look_up(
        self, host: str, packet: Packet, *, revision: int, hosts: tuple[str, ...] = ()
    ) -> None:
        """
        Look up the owner of a packet's flow for the balancer ``host``.

        With ``hosts``, only these agents are queried.
        """
        requesters = self.requesters.setdefault(packet.key, {})
        requesters[host] = None if hosts else revision
        self.owner_lookup.look_up(packet, now=trio.current_time(), hosts=hosts)

    def on_owner(self, host: str, notice: OwnerNotice) -> None:
        """Process the notice of an agent that its backend server holds a flow."""
        self.owner_lookup.on_owner(host, notice.key, now=trio.current_time())

    def on_denial(self, host: str, returned: ReturnedPacket) -> None:
        """Process the denial of an agent, or its reply that it has no entry."""
        packet = self.codec.decode_from_caller(returned.data)
        if packet is None:
            return
        if packet.key not in self.requesters:
            self.owner_lookup.on_late_denial(host, packet.key)
            return
        now = trio.current_time()
        if returned.reason is ReturnReason.UNKNOWN:
            self.owner_lookup.on_unknown(host, packet, now=now)
        else:
            self.owner_lookup.on_denial(host, packet, now=now)

    def retry(self, *, now: float) -> None:
        """Repeat queries that were not answered."""
        self.owner_lookup.retry(now=now)

    def expire(self, *, now: float) -> None:
        """Drop expired lookups, and the requesters of closed lookups."""
        self.owner_lookup.expire(now=now)
        in_progress = self.owner_lookup.lookups.lookups
        self.requesters = {
            key: hosts for key, hosts in self.requesters.items() if key in in_progress
        }

    def deliver(
        self,
        host: str,
        packet: Packet,
        purpose: DeliveryPurpose,
        *,
        hosts: tuple[str, ...] = (),
    ) -> None:
        """Send a packet to an agent, which may be this one; ``hosts`` is not used."""
        del hosts
        self.transport.deliver(host, packet.data, purpose=purpose)

    def on_owner_found(self, key: FlowKey, host: str) -> None:
        """Notify the requesting balancers of the owner of a flow."""
        for requester in self.requesters.pop(key, ()):
            self.transport.send(requester, OwnerNotice(key=key, host=host))

    def on_no_owner(self, packet: Packet) -> None:
        """
        Notify the requesting balancers that the flow has no owner.

        A balancer with a newer revision of the backend servers than this agent gets no
        reply, and delegates its lookup to another agent: the owner may be a backend
        server that this agent didn't query. So does one that doesn't know yet which
        backend servers were removed just now: this agent didn't query them either. The
        failed lookup is closed: the next one may find a backend server that is
        published by then.
        """
        self.owner_lookup.lookups.close(packet.key)
        now = trio.current_time()
        own_revision = self.register.revision(Topic.BACKEND_SERVERS)
        for requester, revision in self.requesters.pop(packet.key, {}).items():
            if revision is not None and (
                revision > own_revision
                or self.register.has_removal_after(revision, now=now)
            ):
                continue
            message = ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=packet.data)
            self.transport.send(requester, message)

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
        logger.info(
            code.replace("_", " "),
            extra={"code": code, "flow": describe_flow(key), **inputs},
        )
