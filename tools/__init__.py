"""Developer commands of the workspace."""

from __future__ import annotations
