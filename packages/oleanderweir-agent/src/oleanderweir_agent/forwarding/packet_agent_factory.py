"""Creates a ``PacketAgent`` with the parts that it passes packets to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_agent.forwarding.acceptance import Acceptance
from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness
from oleanderweir_agent.forwarding.backend_packet_handler import BackendPacketHandler
from oleanderweir_agent.forwarding.backend_record_follower import BackendRecordFollower
from oleanderweir_agent.forwarding.cold_period import ColdPeriod
from oleanderweir_agent.forwarding.cold_period import never_evacuated
from oleanderweir_agent.forwarding.cold_start_limiter import ColdStartLimiter
from oleanderweir_agent.forwarding.flow_packet_handler import FlowPacketHandler
from oleanderweir_agent.forwarding.flow_remover import FlowRemover
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.lookup_service import LookupService
from oleanderweir_agent.forwarding.opening_handler import OpeningHandler
from oleanderweir_agent.forwarding.ownership_checker import OwnershipChecker
from oleanderweir_agent.forwarding.packet_agent import PacketAgent
from oleanderweir_agent.forwarding.pending_openings import PendingOpenings
from oleanderweir_agent.forwarding.probe_outcome_handler import ProbeOutcomeHandler
from oleanderweir_agent.forwarding.report_builder import ReportBuilder
from oleanderweir_agent.forwarding.report_sender import ReportSender
from oleanderweir_agent.forwarding.request_dispatcher import RequestDispatcher
from oleanderweir_agent.forwarding.table_completeness import TableCompleteness
from oleanderweir_agent.forwarding.withdrawn_openings import WithdrawnOpenings


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.desired_state import StateRegister
    from oleanderweir.flows import PacketCodec
    from oleanderweir.peering import Members
    from oleanderweir_agent.forwarding.agent_transport import AgentTransport
    from oleanderweir_agent.forwarding.cold_start_tolerance import ColdStartTolerance
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission


def create_packet_agent(
    *,
    service: str,
    flow_ttl_s: float,
    codec: PacketCodec,
    register: StateRegister,
    members: Members,
    admission: FlowAdmission,
    transport: AgentTransport,
    continuity: BackendContinuity | None = None,
    cold_start_tolerance: ColdStartTolerance | None = None,
    evacuation_ended_at: Callable[[str], float | None] = never_evacuated,
) -> PacketAgent:
    """
    Return an agent without flows.

    It limits new flows in cold starts only with a ``cold_start_tolerance``.
    """
    table = FlowTable(idle_timeout_s=flow_ttl_s)
    openings = PendingOpenings()
    dispatcher = RequestDispatcher(register=register, transport=transport)
    liveness = BackendLiveness()
    continuity = continuity or BackendContinuity(admission=admission)
    completeness = TableCompleteness(admission=admission, liveness=liveness)
    ownership = OwnershipChecker(transport=transport, flow_ttl_s=flow_ttl_s)
    withdrawn = WithdrawnOpenings()
    cold_period = ColdPeriod(liveness=liveness, evacuation_ended_at=evacuation_ended_at)
    cold_start = ColdStartLimiter(
        register=register,
        service=service,
        tolerance=cold_start_tolerance,
        period=cold_period,
    )
    acceptance = Acceptance(
        admission=admission,
        liveness=liveness,
        continuity=continuity,
        cold_start=cold_start,
    )
    report_builder = ReportBuilder(
        service=service, table=table, dispatcher=dispatcher, acceptance=acceptance
    )
    remover = FlowRemover(
        table=table,
        openings=openings,
        dispatcher=dispatcher,
        liveness=liveness,
        transport=transport,
    )
    opening_handler = OpeningHandler(
        table=table,
        openings=openings,
        dispatcher=dispatcher,
        admission=admission,
        acceptance=acceptance,
        liveness=liveness,
        continuity=continuity,
        cold_start=cold_start,
        ownership=ownership,
        remover=remover,
        withdrawn=withdrawn,
        report_builder=report_builder,
        transport=transport,
    )
    return PacketAgent(
        service=service,
        codec=codec,
        register=register,
        members=members,
        admission=admission,
        transport=transport,
        table=table,
        openings=openings,
        dispatcher=dispatcher,
        liveness=liveness,
        continuity=continuity,
        cold_start=cold_start,
        ownership=ownership,
        withdrawn=withdrawn,
        lookup_service=LookupService(
            codec=codec, register=register, members=members, transport=transport
        ),
        completeness=completeness,
        report_builder=report_builder,
        reporter=ReportSender(members=members, transport=transport),
        opening_handler=opening_handler,
        flow_packet_handler=FlowPacketHandler(
            table=table,
            dispatcher=dispatcher,
            admission=admission,
            liveness=liveness,
            completeness=completeness,
            ownership=ownership,
            remover=remover,
            withdrawn=withdrawn,
            transport=transport,
        ),
        backend_packet_handler=BackendPacketHandler(
            codec=codec,
            table=table,
            dispatcher=dispatcher,
            liveness=liveness,
            continuity=continuity,
            ownership=ownership,
            remover=remover,
            withdrawn=withdrawn,
            opening_handler=opening_handler,
            transport=transport,
        ),
        probe_outcome_handler=ProbeOutcomeHandler(
            codec=codec,
            table=table,
            liveness=liveness,
            continuity=continuity,
            completeness=completeness,
            ownership=ownership,
            remover=remover,
            opening_handler=opening_handler,
            transport=transport,
        ),
        record_follower=BackendRecordFollower(
            admission=admission,
            dispatcher=dispatcher,
            table=table,
            cold_period=cold_period,
        ),
    )
