"""Forwarding of packets between balancers, callers and one backend server."""

from __future__ import annotations

from oleanderweir_agent.forwarding.agent_transport import AgentTransport
from oleanderweir_agent.forwarding.backend_continuity import BackendContinuity
from oleanderweir_agent.forwarding.backend_probe import BackendProbe
from oleanderweir_agent.forwarding.cold_start_tolerance import ColdStartTolerance
from oleanderweir_agent.forwarding.flow_admission import FlowAdmission
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.load_meter import LoadMeter
from oleanderweir_agent.forwarding.packet_agent import PacketAgent
from oleanderweir_agent.forwarding.packet_agent_factory import create_packet_agent
from oleanderweir_agent.forwarding.packet_agent_settings import PacketAgentSettings
from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


__all__ = [
    "AgentTransport",
    "BackendContinuity",
    "BackendProbe",
    "ColdStartTolerance",
    "FlowTable",
    "LoadMeter",
    "FlowAdmission",
    "PacketAgent",
    "PacketAgentSettings",
    "ProbeOutcome",
    "create_packet_agent",
]
