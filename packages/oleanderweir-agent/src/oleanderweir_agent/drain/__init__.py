"""Draining a backend server without interrupting requests."""

from __future__ import annotations

from oleanderweir_agent.drain.drain_state import DrainState
from oleanderweir_agent.drain.drain_watcher import DrainWatcher


__all__ = ["DrainState", "DrainWatcher"]
