"""Metrics of the agent."""

from __future__ import annotations

from oleanderweir_agent.metrics.agent_metrics import AgentMetrics
from oleanderweir_agent.metrics.relay_outcome import RelayOutcome


__all__ = ["AgentMetrics", "RelayOutcome"]
