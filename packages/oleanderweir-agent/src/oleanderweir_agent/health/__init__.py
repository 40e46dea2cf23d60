"""Health of backend servers, from outcomes of requests first and probes second."""

from __future__ import annotations

from oleanderweir_agent.health.backend_health import BackendHealth
from oleanderweir_agent.health.health_state import HealthState
from oleanderweir_agent.health.panic_filter import PanicFilter


__all__ = ["BackendHealth", "HealthState", "PanicFilter"]
