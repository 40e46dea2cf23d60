"""Searches that the agent makes for balancers."""

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
    Asks all agents that may hold a flow, and tells who asked of the outcome.

    A balancer in a large fleet hands its searches here, to a different agent for each
    flow. It is a ``LookupTransport`` of its own ``OwnerLookup``.
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
        self.finder = OwnerLookup(
            register=register, members=members, transport=self, use_delegate=False
        )
        self.register = register
        # Balancers that wait for the owner of a flow, and the revision of the newest
        # change of the backend servers that each knew.
        self.requesters: dict[FlowKey, dict[str, int]] = {}

    @property
    def has_lookups(self) -> bool:
        """Whether any search runs."""
        return bool(self.requesters)

    def look_up(self, host: str, packet: Packet, *, revision: int) -> None:
        """Search the owner of a packet's flow for a balancer."""
        self.requesters.setdefault(packet.key, {})[host] = revision
        self.finder.look_up(packet, now=trio.current_time())

    def on_owner(self, host: str, notice: OwnerNotice) -> None:
        """Take the claim of another agent in."""
        self.finder.on_owner(host, notice.key, now=trio.current_time())

    def on_denial(self, host: str, returned: ReturnedPacket) -> None:
        """Take the denial of another agent in."""
        packet = self.codec.decode_from_caller(returned.data)
        if packet is not None and packet.key in self.requesters:
            self.finder.on_denial(host, packet, now=trio.current_time())

    def retry(self, *, now: float) -> None:
        """Ask again where no answer came."""
        self.finder.retry(now=now)

    def expire(self, *, now: float) -> None:
        """Forget searches that are over."""
        self.finder.expire(now=now)
        running = self.finder.lookups.lookups
        self.requesters = {
            k: hosts for k, hosts in self.requesters.items() if k in running
        }

    def deliver(self, host: str, packet: Packet, purpose: DeliveryPurpose) -> None:
        """Send a packet to another agent, or to this one."""
        self.transport.deliver(host, packet.data, purpose=purpose)

    def on_owner_found(self, key: FlowKey, host: str) -> None:
        """Tell the balancers that asked who holds the flow."""
        for asker in self.requesters.pop(key, ()):
            self.transport.send(asker, OwnerNotice(key=key, host=host))

    def on_no_owner(self, packet: Packet) -> None:
        """
        Tell the balancers that asked that nobody holds the flow.

        One that knows newer backend servers gets no answer and asks another agent: the
        flow may be held by one that was not asked here.
        """
        known = self.register.changed_revision(Topic.BACKEND_SERVERS)
        for asker, revision in self.requesters.pop(packet.key, {}).items():
            if revision > known:
                continue
            message = ReturnedPacket(reason=ReturnReason.HELD_NOWHERE, data=packet.data)
            self.transport.send(asker, message)

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
        logger.info(
            code.replace("_", " "),
            extra={"code": code, "flow": describe_flow(key), **inputs},
        )
