"""Counters of second copies."""

from __future__ import annotations

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from oleanderweir_agent.copies.copy_outcome import CopyOutcome
from oleanderweir_agent.copies.copy_refusal import CopyRefusal


@attrs.define(kw_only=True, eq=False)
class CopyMetrics:
    """
    Counters of copies, registered in ``registry``, by default a new one.

    ``accepted`` is the number of copies that their peers did not reject.
    """

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    outcomes: dict[CopyOutcome, Counter] = attrs.field(init=False)
    refusals: dict[CopyRefusal, Counter] = attrs.field(init=False)
    candidates: Counter = attrs.field(init=False)
    max_share: Gauge = attrs.field(init=False)
    accepted: int = 0
    candidate_count: int = 0

    def __attrs_post_init__(self) -> None:
        outcomes = Counter(
            "oleanderweir_agent_copies",
            "Second copies of slow requests, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.outcomes = {
            outcome: outcomes.labels(outcome.value) for outcome in CopyOutcome
        }
        refusals = Counter(
            "oleanderweir_agent_copy_refusals",
            "Checks of slow requests that led to no copy, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.refusals = {
            refusal: refusals.labels(refusal.value) for refusal in CopyRefusal
        }
        self.candidates = Counter(
            "oleanderweir_agent_copy_candidates",
            "Requests that may be copied, each once.",
            registry=self.registry,
        )
        self.max_share = Gauge(
            "oleanderweir_agent_copy_max_share",
            "The limit of copies in force, as a share of copyable requests.",
            registry=self.registry,
        )
        share = Gauge(
            "oleanderweir_agent_copy_share",
            "Copies not rejected as a share of copyable requests, since the start.",
            registry=self.registry,
        )
        share.set_function(self.read_share)

    def read_share(self) -> float:
        """Return the share of copies since the start, 0 without any candidate."""
        return self.accepted / self.candidate_count if self.candidate_count else 0.0

    def count_candidate(self) -> None:
        """Count one request that may be copied."""
        self.candidate_count += 1
        self.candidates.inc()

    def count(self, outcome: CopyOutcome) -> None:
        """Count one outcome."""
        self.accepted += outcome is CopyOutcome.SENT
        self.accepted -= outcome is CopyOutcome.REJECTED
        self.outcomes[outcome].inc()

    def count_refusal(self, refusal: CopyRefusal) -> None:
        """Count one slow request that is not copied."""
        self.refusals[refusal].inc()
