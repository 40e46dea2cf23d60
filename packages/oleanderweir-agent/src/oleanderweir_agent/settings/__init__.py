"""Settings of the agent."""

from __future__ import annotations

from oleanderweir_agent.settings.agent_settings import AgentSettings


__all__ = ["AgentSettings"]
