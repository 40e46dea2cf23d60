"""Forwarding of packets between balancers, callers and one backend server."""

from __future__ import annotations

from oleanderweir_agent.forwarding.agent_links import AgentLinks
from oleanderweir_agent.forwarding.backend_probe import BackendProbe
from oleanderweir_agent.forwarding.flow_table import FlowTable
from oleanderweir_agent.forwarding.load_meter import LoadMeter
from oleanderweir_agent.forwarding.opening_gate import OpeningGate
from oleanderweir_agent.forwarding.packet_agent import PacketAgent
from oleanderweir_agent.forwarding.packet_agent_settings import PacketAgentSettings
from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


__all__ = [
    "AgentLinks",
    "BackendProbe",
    "FlowTable",
    "LoadMeter",
    "OpeningGate",
    "PacketAgent",
    "PacketAgentSettings",
    "ProbeOutcome",
]
