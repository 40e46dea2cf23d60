"""The sidecar process of oleanderweir that serves one backend server."""

from __future__ import annotations
