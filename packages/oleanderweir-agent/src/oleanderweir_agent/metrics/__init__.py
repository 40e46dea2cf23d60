"""Counters of the agent."""

from __future__ import annotations

from oleanderweir_agent.metrics.agent_metrics import AgentMetrics


__all__ = ["AgentMetrics"]
