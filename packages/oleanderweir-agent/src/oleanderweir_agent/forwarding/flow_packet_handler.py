"""Callers' packets of flows that were opened before."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnReason


if TYPE_CHECKING:
    from oleanderweir.flows import Packet
    from oleanderweir.peering.messages import Delivery
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
    from oleanderweir_agent.forwarding.flow_remover import FlowRemover
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.forwarding.table_completeness import TableCompleteness
    from oleanderweir_agent.forwarding.withdrawn_openings import WithdrawnOpenings


# Queries that the backend server isn't asked about.
TABLE_QUERIES = frozenset({DeliveryPurpose.TABLE_QUERY, DeliveryPurpose.HEDGED_QUERY})
QUERIES = TABLE_QUERIES | {DeliveryPurpose.QUERY}
# An unpublished backend server that has sent nothing for this long may have stopped.
UNPUBLISHED_SILENCE_S = 5.0


class FlowPacketHandler:
    """
    Forwards callers' packets of flows that the backend server holds, or may hold.

    Checks the ownership of a flow that isn't in the table, and returns a packet of one
    that the backend server doesn't hold.
    """

    def __init__(
        self,
        *,
        table: FlowTable,
        dispatcher: RequestDispatcher,
        admission: FlowAdmission,
        liveness: BackendLiveness,
        completeness: TableCompleteness,
        ownership: OwnershipChecker,
        remover: FlowRemover,
        withdrawn: WithdrawnOpenings,
        transport: AgentTransport,
    ) -> None:
        self.table = table
        self.dispatcher = dispatcher
        self.admission = admission
        self.liveness = liveness
        self.completeness = completeness
        self.ownership = ownership
        self.remover = remover
        self.withdrawn = withdrawn
        self.transport = transport

    def on_packet(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Forward a packet if the backend server holds its flow, or may hold it."""
        flow = self.table.get(packet.key)
        if flow is not None and flow.is_of_later_flow(packet):
            # This agent would have seen the later flow if it had been opened here.
            self.remover.remove(packet.key, now=now)
            self.ownership.record_not_held(packet.key, now=now)
            flow = None
        if flow is None:
            self._check_ownership(host, packet, message, now=now)
        elif self.liveness.is_down():
            self._return_lost(host, flow, packet, now=now)
        elif _is_won_by_another(flow, packet, message):
            self._withdraw(host, packet, now=now)
        elif _may_be_of_another_flow(flow, packet):
            self._ask_about_another(host, flow, packet)
        elif message.purpose not in QUERIES:
            self._forward(host, flow, packet, now=now)
        elif flow.is_closed:
            self._check_backend(host, packet, message, now=now)
        elif flow.is_established:
            self._forward(host, flow, packet, now=now)
            self.transport.send_owner_notice(
                host, packet.key, **flow.describe_progress()
            )
        else:
            # The caller may have acknowledged another backend server's answer.
            flow.claimants[host] = packet.data
            self._dispatch(flow, packet, now=now)

    def _ask_about_another(self, host: str, flow: HeldFlow, packet: Packet) -> None:
        """
        Ask the backend server about an earlier or later flow of an open flow's port.

        The packet leaves the entry as it is: if the backend server returns it, only the
        packet is denied.
        """
        flow.claimants[host] = packet.data
        self.transport.forward_to_backend(packet.data)

    def _withdraw(self, host: str, packet: Packet, *, now: float) -> None:
        """
        Deny a flow whose caller has acknowledged another backend server's answer.

        The backend server isn't asked, and its own answer is withheld. An unanswered
        opening stays pending: it shows whether the backend server responds.
        """
        key = packet.key
        self.withdrawn.add(key, acknowledged=packet.acknowledged, now=now)
        flow = self.table.get(key)
        if flow is not None and flow.is_answered:
            self.remover.remove(key, now=now)
            self.ownership.record_not_held(key, now=now)
        self.transport.return_packet(host, key, packet.data, ReturnReason.NOT_HELD)

    def _return_lost(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Return a packet of a flow whose backend server is down; remove the flow."""
        if not self.liveness.has_stopped:
            self.completeness.on_unproven_removal()
        self.remover.remove(packet.key, now=now)
        self.remover.return_unheld(host, flow, packet.data)

    def _forward(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Forward a packet of a flow in the table to the backend server."""
        self._update_from_caller(host, flow, packet, now=now)
        self._dispatch(flow, packet, now=now)

    def _dispatch(self, flow: HeldFlow, packet: Packet, *, now: float) -> None:
        """Send a packet to the backend server, or queue it with its request."""
        if packet.payload_bytes:
            self.liveness.on_payload(now=now)
        self.dispatcher.dispatch(flow, packet, now=now)

    def _check_ownership(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Start an ownership check of an unknown flow, or return its packet at once."""
        may_be_gone = self._may_be_gone(now)
        if may_be_gone:
            self.liveness.on_doubt()
        is_not_held = self._lacks_unknown_flow(packet, now=now) or (
            may_be_gone and not self.liveness.was_accepted
        )
        if is_not_held:
            self.transport.return_packet(
                host,
                packet.key,
                packet.data,
                ReturnReason.NOT_HELD,
                is_table_complete=self.completeness.is_complete,
            )
        elif self._routes_elsewhere(packet, message):
            self.transport.return_packet(
                host, packet.key, packet.data, ReturnReason.NOT_TRIED
            )
        else:
            self._check_backend(host, packet, message, now=now)

    def _check_backend(
        self, host: str, packet: Packet, message: Delivery, *, now: float
    ) -> None:
        """Ask the backend server whether it holds a flow, unless the query forbids."""
        if message.purpose in TABLE_QUERIES:
            self.transport.return_packet(
                host, packet.key, packet.data, ReturnReason.UNKNOWN
            )
        else:
            self.ownership.start(host, packet, now=now)

    def _lacks_unknown_flow(self, packet: Packet, *, now: float) -> bool:
        """Whether the backend server is known not to hold a flow without an entry."""
        if self.completeness.is_complete:
            return True
        return self.ownership.is_not_held(packet.key, now=now)

    def _routes_elsewhere(self, packet: Packet, message: Delivery) -> bool:
        """
        Whether a packet of an unknown flow must not be forwarded, due to its route.

        If the route leads to another service, only a query is forwarded: the flow may
        have been opened before the route moved.
        """
        is_query = message.purpose in QUERIES
        version = message.version
        return not is_query and not self.admission.may_allow_route(
            packet.key, version=version
        )

    def _update_from_caller(
        self, host: str, flow: HeldFlow, packet: Packet, *, now: float
    ) -> None:
        """Update the state of a flow from a packet of its caller."""
        flow.used_at = now
        flow.balancer = host
        flow.caller_acknowledged = packet.acknowledged
        flow.is_confirmed = True
        flow.opening = None
        if packet.is_reset:
            flow.is_reset_by_caller = True
            flow.caller_closed = flow.backend_closed = True
        elif packet.is_final:
            flow.caller_closed = True

    def _may_be_gone(self, now: float) -> bool:
        """Whether the backend server is no longer published and sends nothing."""
        return (
            self.admission.is_unpublished(now=now)
            and now - self.liveness.last_packet_at > UNPUBLISHED_SILENCE_S
        )


def _may_be_of_another_flow(flow: HeldFlow, packet: Packet) -> bool:
    """
    Whether a packet may be of an earlier or later flow of an open flow's port.

    A reset may carry any acknowledgement.
    """
    if packet.is_reset or not flow.is_established:
        return False
    return flow.may_be_of_later_flow(packet)


def _is_won_by_another(flow: HeldFlow, packet: Packet, message: Delivery) -> bool:
    """
    Whether another backend server has opened a hedged flow.

    The caller has got no answer but those that passed this agent: it can't have
    acknowledged one that this backend server has not given.
    """
    return (
        message.purpose is DeliveryPurpose.HEDGED_QUERY
        and not flow.is_confirmed
        and not flow.is_established
        and not flow.acknowledges_answer(packet)
    )
