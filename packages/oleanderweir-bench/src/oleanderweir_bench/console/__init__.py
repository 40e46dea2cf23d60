"""The bench's command line."""

from __future__ import annotations

from oleanderweir_bench.console.application import application


__all__ = ["application"]
