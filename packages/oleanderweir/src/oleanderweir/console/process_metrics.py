"""Counters that every process has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter
from prometheus_client import Gauge


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class ProcessMetrics:
    """Readiness, late wake-ups and log messages left out."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.is_ready = Gauge(
            "oleanderweir_process_ready",
            "1 when the process may be given work, otherwise 0.",
            registry=registry,
        )
        self.late_wake_ups = Counter(
            "oleanderweir_process_late_wake_ups",
            "Times that the process woke up late, as after a pause of the machine.",
            registry=registry,
        )
        self.late_wake_up_seconds = Counter(
            "oleanderweir_process_late_wake_up_seconds",
            "Seconds by which the process woke up late, added up.",
            registry=registry,
        )
        self.suppressed_log_messages = Counter(
            "oleanderweir_log_messages_suppressed",
            "Repeated log messages that were counted and not written.",
            registry=registry,
        )
