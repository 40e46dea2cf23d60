"""The demonstration: one caller while a balancer is killed."""

from __future__ import annotations

from oleanderweir_bench.demo.demo import Demo
from oleanderweir_bench.demo.demo_check import DemoCheck


__all__ = ["Demo", "DemoCheck"]
