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
    from collections.abc import Iterable

    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir.lookups import Lookup
    from oleanderweir.peering import Members
    from oleanderweir.peering.messages import DeliveryPurpose
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport


logger = logging.getLogger(__name__)

# Denials that one message lists, so that it fits a datagram beside the packet.
MAX_LISTED_DENIALS = 128
# Interval of the reports that a lookup continues, without which the requester delegates
# it to another agent too.
PROGRESS_INTERVAL_S = 0.15


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

        With ``hosts``, only these agents are queried. A request for which the table of
        lookups has no room is forgotten: the result of a later lookup of the flow
        doesn't cover it.
        """
        requesters = self.requesters.setdefault(packet.key, {})
        requesters[host] = None if hosts else revision
        self.owner_lookup.look_up(packet, now=trio.current_time(), hosts=hosts)
        if not self.owner_lookup.is_in_progress(packet.key):
            self.requesters.pop(packet.key, None)

    def on_owner(self, host: str, notice: OwnerNotice) -> None:
        """Process the notice of an agent, or of a balancer that found the owner."""
        owner = notice.host or host
        if owner != host:
            # The balancer that sent it knows the owner already.
            self.requesters.get(notice.key, {}).pop(host, None)
        self.owner_lookup.on_owner(owner, notice.key, now=trio.current_time())

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
            self.owner_lookup.on_denial(
                host, packet, now=now, is_port_used=returned.is_port_used
            )

    def retry(self, *, now: float) -> None:
        """Report the progress so far, and repeat queries that were not answered."""
        for key, requesters in self.requesters.items():
            lookup = self.owner_lookup.lookups.lookups.get(key)
            if lookup is not None and self._is_report_due(lookup, now=now):
                self._report_progress(lookup, requesters, now=now)
        self.owner_lookup.retry(now=now)

    def _is_report_due(self, lookup: Lookup, *, now: float) -> bool:
        """
        Whether requesters need a report: new denials, or that the lookup continues.

        One whose queries aren't repeated any more doesn't continue.
        """
        if len(lookup.denied_by) > lookup.reported:
            return True
        # Queries with a mere acknowledgement aren't repeated.
        is_repeated = lookup.query is not None and lookup.query.is_retransmitted
        if not is_repeated or self.owner_lookup.is_exhausted(lookup):
            return False
        return now - lookup.reported_at >= PROGRESS_INTERVAL_S

    def _report_progress(
        self, lookup: Lookup, requesters: Iterable[str], *, now: float
    ) -> None:
        """Send the denials so far: other delegates need not query these agents."""
        lookup.reported = len(lookup.denied_by)
        lookup.reported_at = now
        hosts = self._list_denials(lookup)
        if lookup.query is None:
            return
        message = ReturnedPacket(
            reason=ReturnReason.PARTLY_DENIED,
            data=lookup.query.data,
            hosts=hosts,
            is_port_used=lookup.is_port_used,
        )
        for requester in requesters:
            self.transport.send(requester, message)

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

    def notify_delegate(self, delegate: str, key: FlowKey, host: str) -> None:
        """Do nothing: an agent delegates no lookups."""

    def on_no_owner(self, packet: Packet) -> None:
        """
        Notify the requesting balancers that the flow has no owner, and who denied.

        The failed lookup is closed: the next one may find a backend server that is
        published by then.
        """
        lookup = self.owner_lookup.lookups.close(packet.key)
        hosts = () if lookup is None else self._list_denials(lookup)
        message = ReturnedPacket(
            reason=ReturnReason.HELD_NOWHERE,
            data=packet.data,
            hosts=hosts,
            is_port_used=lookup is not None and lookup.is_port_used,
        )
        for requester, revision in self.requesters.pop(packet.key, {}).items():
            if hosts or self._covers_published(revision):
                self.transport.send(requester, message)

    def _list_denials(self, lookup: Lookup) -> tuple[str, ...]:
        """Return the agents that denied, or none if they are too many for a message."""
        if len(lookup.denied_by) > MAX_LISTED_DENIALS:
            return ()
        return tuple(sorted(lookup.denied_by))

    def _covers_published(self, revision: int | None) -> bool:
        """
        Whether the agents of all backend servers that a balancer knows were queried.

        They may not have been if the balancer has a newer ``revision`` of the backend
        servers than this agent, or doesn't know yet which were removed just now. It
        gets no reply then, and delegates its lookup to another agent.
        """
        if revision is None:
            return True
        if revision > self.register.revision(Topic.BACKEND_SERVERS):
            return False
        return not self.register.has_removal_after(revision, now=trio.current_time())

    def log(self, code: str, key: FlowKey, **inputs: object) -> None:
        """Log a decision about a flow, with its inputs."""
        logger.info(
            code.replace("_", " "),
            extra={"code": code, "flow": describe_flow(key), **inputs},
        )
