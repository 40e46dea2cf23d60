"""Packets of the backend server: answers, resets and returned packets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.flows import describe_flow
from oleanderweir.peering.messages import ReturnReason


if TYPE_CHECKING:
    from oleanderweir.flows import FlowKey
    from oleanderweir.flows import Packet
    from oleanderweir.flows import PacketCodec
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
    from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
    from oleanderweir_agent.forwarding.flow_remover import FlowRemover
    from oleanderweir_agent.forwarding.flow_table import FlowTable
    from oleanderweir_agent.forwarding.flow_table import HeldFlow
    from oleanderweir_agent.forwarding.opening_handler import OpeningHandler
    from oleanderweir_agent.forwarding.ownership_check import OwnershipCheck
    from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
    from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.forwarding.withdrawn_openings import WithdrawnOpenings


logger = logging.getLogger(__name__)


class BackendPacketHandler:
    """
    Forwards packets of the backend server to callers, and processes returned ones.

    A packet of a flow may prove that the backend server holds it; the peers that asked
    are then notified. A reset of a flow that another one may hold is withheld.
    """

    def __init__(
        self,
        *,
        codec: PacketCodec,
        table: FlowTable,
        dispatcher: RequestDispatcher,
        liveness: BackendLiveness,
        continuity: BackendContinuity,
        ownership: OwnershipChecker,
        remover: FlowRemover,
        withdrawn: WithdrawnOpenings,
        opening_handler: OpeningHandler,
        transport: AgentTransport,
    ) -> None:
        self.codec = codec
        self.table = table
        self.dispatcher = dispatcher
        self.liveness = liveness
        self.continuity = continuity
        self.ownership = ownership
        self.remover = remover
        self.withdrawn = withdrawn
        self.opening_handler = opening_handler
        self.transport = transport

    def on_packet(self, data: bytes) -> None:
        """Forward a packet of the backend server, or process one that it returned."""
        packet = self.codec.decode_from_backend_server(data)
        if packet is None:
            return
        now = trio.current_time()
        self.liveness.on_backend_packet(now=now)
        if packet.is_returned:
            self._on_returned(packet, now=now)
            return
        if packet.is_opening and self.withdrawn.is_withdrawn(
            packet.key, sequence=packet.sequence
        ):
            self._withhold_answer(packet.key, now=now)
            return
        is_doubtful = packet.is_reset or self.ownership.is_answered_for_another(packet)
        if is_doubtful and self._is_reset_of_another(packet, now=now):
            return
        self.transport.forward_to_caller(packet.key, data)
        self._update_from_backend(packet, now=now)
        self.dispatcher.start_queued(self.table.flows, now=now)

    def _withhold_answer(self, key: FlowKey, *, now: float) -> None:
        """Withhold the answer to an opening that another backend server has won."""
        logger.info(
            "answer withheld from the caller: another backend server opened the flow",
            extra={"code": "answer_withheld", "flow": describe_flow(key)},
        )
        self.ownership.record_not_held(key, now=now)
        self.remover.remove(key, now=now)

    def _is_reset_of_another(self, packet: Packet, *, now: float) -> bool:
        """
        Withhold a reset of a flow that another backend server may hold; deny the flow.

        A backend server also resets flows that have ended there or stayed half open.
        """
        key = packet.key
        check = self.ownership.pop(key)
        flow = self.table.get(key)
        is_held = (
            flow is not None
            and flow.is_established
            and not self._is_asked_with_payload(flow)
        )
        if check is None and is_held:
            return False
        logger.info(
            "reset withheld from the caller: another backend server may hold the flow",
            extra={"code": "reset_withheld", "flow": describe_flow(key)},
        )
        self.ownership.record_not_held(key, now=now)
        self.remover.remove(key, now=now)
        if check is not None:
            self._deny(check.balancer, key, check.data)
        elif flow is not None:
            for host, data in sorted(flow.claimants.items()):
                self._deny(host, key, data)
        return True

    def _is_asked_with_payload(self, flow: HeldFlow) -> bool:
        """Whether a query of another flow of the port may lead to a reset."""
        queries = map(self.codec.decode_from_caller, flow.claimants.values())
        return any(query is not None and query.payload_bytes for query in queries)

    def _update_from_backend(self, packet: Packet, *, now: float) -> None:
        """Update the state of a flow from a packet of the backend server."""
        # The answer to an opening packet may be late, and another backend server may
        # have opened the flow since: it doesn't prove that this one holds the flow.
        check = None if packet.is_opening else self.ownership.pop(packet.key)
        host = "" if check is None else check.balancer
        flow = self.table.get_or_create(packet.key, balancer=host, now=now)
        if flow.is_established and not packet.is_reset:
            self.continuity.on_held_flow()
        flow.is_answered = True
        if packet.is_opening:
            flow.answered_sequence = packet.sequence
        else:
            self._establish(flow, check, now=now)
        if packet.is_acknowledging:
            self.dispatcher.on_acknowledged(flow, packet.acknowledged)
        if packet.payload_bytes:
            self.dispatcher.on_answer(flow, now=now)
        if packet.is_reset:
            self._log_backend_reset(flow, now=now)
            self.dispatcher.drop(flow, now=now)
            flow.caller_closed = flow.backend_closed = True
        elif packet.is_final:
            flow.backend_closed = True

    def _establish(
        self, flow: HeldFlow, check: OwnershipCheck | None, *, now: float
    ) -> None:
        """Mark a flow as held, if its caller sent a packet; notify those who asked."""
        claimants, flow.claimants = set(flow.claimants), {}
        if claimants:
            flow.is_confirmed = True
            flow.opening = None
        if check is not None:
            claimants.add(check.balancer)
            flow.caller_acknowledged = check.acknowledged
            flow.caller_closed |= check.is_final
        if not flow.is_confirmed and not claimants:
            return
        flow.is_established = True
        for host in sorted(claimants):
            flow.balancer = host
            self.transport.send_owner_notice(host, flow.key, **flow.describe_progress())
        if check is not None:
            self.dispatcher.on_ownership_confirmed(flow, check, now=now)

    def _on_returned(self, packet: Packet, *, now: float) -> None:
        """Process a packet that the backend server returned unserved."""
        key = packet.key
        data = self.codec.restore(packet)
        flow = self.table.get(key)
        check = self.ownership.pop(key)
        if packet.is_opening:
            self.opening_handler.on_returned(flow, key, data, now=now)
            return
        if check is None and flow is not None and _is_of_another_flow(flow, packet):
            self._deny_claims(flow, data)
            return
        self.ownership.record_not_held(key, now=now)
        self.remover.remove(key, now=now)
        if check is not None:
            self._deny(check.balancer, key, data)
        elif flow is not None and data in flow.claimants.values():
            for host in sorted(flow.claimants):
                self._deny(host, key, data)
        elif flow is not None and not (flow.is_confirmed and flow.is_closed):
            # A backend server that held the flow and returns its packet was restarted.
            self.remover.return_unheld(flow.balancer, flow, data)

    def _deny_claims(self, flow: HeldFlow, data: bytes) -> None:
        """
        Deny the queries with a packet of an earlier or later flow of the port.

        The flow in the table may be the later one: the earlier one needs no reset then.
        """
        claimants = [h for h, query in flow.claimants.items() if query == data]
        for host in sorted(claimants):
            del flow.claimants[host]
            self.transport.return_packet(
                host, flow.key, data, ReturnReason.NOT_HELD, is_port_used=True
            )

    def _deny(self, host: str, key: FlowKey, data: bytes) -> None:
        """Return a packet of a flow that the backend server doesn't hold."""
        self.transport.return_packet(host, key, data, ReturnReason.NOT_HELD)

    def _log_backend_reset(self, flow: HeldFlow, *, now: float) -> None:
        logger.info(
            "backend server reset a flow",
            extra={
                "code": "backend_reset",
                "flow": describe_flow(flow.key),
                "is_confirmed": flow.is_confirmed,
                "age_s": round(now - flow.opened_at, 3),
                "busy": self.dispatcher.meter.busy,
                "flows": len(self.table.flows),
            },
        )


def _is_of_another_flow(flow: HeldFlow, packet: Packet) -> bool:
    """Whether a returned packet is not of the open flow that uses its port now."""
    is_open = flow.is_established and not flow.is_closed
    return is_open and flow.may_be_of_later_flow(packet)
