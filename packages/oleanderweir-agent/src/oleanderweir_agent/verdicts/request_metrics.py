"""Counters of the agent's decisions about requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from oleanderweir_agent.verdicts.exceptions import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir_agent.verdicts.failure_reason import FailureReason
    from oleanderweir_agent.verdicts.rejection_reason import RejectionReason


@attrs.define(kw_only=True)
class RequestMetrics:
    """
    Counters of rejections, failures, retries, health changes and load reports.

    All are labelled by reason and registered in ``registry``, by default a new one.
    """

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    rejections: Counter = attrs.field(init=False)
    failures: Counter = attrs.field(init=False)
    retries: Counter = attrs.field(init=False)
    retry_refusals: Counter = attrs.field(init=False)
    health_changes: Counter = attrs.field(init=False)
    load_reports: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rejections = self.create_counter(
            "request_rejections", "Requests refused, not run"
        )
        self.failures = self.create_counter(
            "request_failures", "Requests that may have run"
        )
        self.retries = self.create_counter(
            "request_retries", "Attempts after the first"
        )
        self.retry_refusals = self.create_counter("retry_refusals", "Retries not made")
        self.health_changes = self.create_counter("health_changes", "Changes of health")
        self.load_reports = self.create_counter(
            "load_reports", "Load reports taken or dropped"
        )

    def create_counter(self, name: str, documentation: str) -> Counter:
        """Return a counter with a ``reason`` label and the agent's metric prefix."""
        return Counter(
            f"oleanderweir_agent_{name}",
            documentation,
            ["reason"],
            registry=self.registry,
        )

    def create_rejection(
        self,
        reason: RejectionReason,
        *,
        message: str | None = None,
        retry_after_s: float | None = None,
    ) -> RequestRejectedError:
        """Count one request that is rejected, and return the error to raise."""
        self.rejections.labels(reason=reason.value).inc()
        return RequestRejectedError(
            reason=reason, message=message, retry_after_s=retry_after_s
        )

    def count_failure(self, reason: FailureReason) -> None:
        """Count one request that failed and may have run."""
        self.failures.labels(reason=reason.value).inc()
