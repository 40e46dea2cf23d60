"""The agent of oleanderweir."""

from __future__ import annotations
