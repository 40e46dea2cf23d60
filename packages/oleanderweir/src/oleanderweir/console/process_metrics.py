"""Metrics that every process exports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter
from prometheus_client import Gauge


if TYPE_CHECKING:
    from collections.abc import Sequence

    from prometheus_client import CollectorRegistry

    from oleanderweir.settings import TlsMaterial


class ProcessMetrics:
    """Readiness, late wake-ups, certificate expiry and suppressed log messages."""

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
        self.certificate_expiry = Gauge(
            "oleanderweir_process_certificate_expiry_timestamp_seconds",
            "Unix time at which the first certificate of the process ends.",
            registry=registry,
        )
        self.suppressed_log_messages = Counter(
            "oleanderweir_log_messages_suppressed",
            "Repeated log messages that were counted and not written.",
            registry=registry,
        )

    def record_certificate_expiry(self, materials: Sequence[TlsMaterial]) -> None:
        """Export the earliest expiry of the certificates as read at startup."""
        self.certificate_expiry.set(
            min(
                material.read_certificate().not_valid_after_utc.timestamp()
                for material in materials
            )
        )
