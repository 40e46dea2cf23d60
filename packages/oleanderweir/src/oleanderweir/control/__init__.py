"""The control plane of a process, which provides the tickets in force."""

from __future__ import annotations

from oleanderweir.control.control_plane import ControlPlane


__all__ = ["ControlPlane"]
