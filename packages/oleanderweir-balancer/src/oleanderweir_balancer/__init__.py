"""The balancer of oleanderweir."""

from __future__ import annotations
