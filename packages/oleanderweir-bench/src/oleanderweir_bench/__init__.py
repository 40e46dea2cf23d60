"""The bench of oleanderweir."""

from __future__ import annotations
