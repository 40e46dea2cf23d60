"""The parts of a soak that older seeds don't have."""

from __future__ import annotations

import random

import attrs

from oleanderweir.desired_state import ColdStartLimit
from oleanderweir_agent.forwarding import ColdStartTolerance


# Separate, so that the extras don't change the faults of a seed.
EXTRAS_SEED_OFFSET = 2_000_000


@attrs.frozen(kw_only=True)
class SoakExtras:
    """
    Evacuations, cold starts, slow links and hedges of a soak; by default, none.

    Along with each fault, a zone is evacuated with ``evacuation_probability``, and
    again after the last fault. ``cold_start_limit`` and ``cold_start_tolerance`` apply
    to all backend servers. The first ``slow_balancers`` have a link of ``link_mbps``
    megabits a second. ``uploaders`` callers send large requests, and all others open a
    flow for every ``requests_per_flow`` requests. ``slow_opening_share`` of the
    openings are answered late, and ``max_hedged_share`` of them may be hedged.
    """

    evacuation_probability: float = 0.0
    cold_start_limit: ColdStartLimit | None = None
    cold_start_tolerance: ColdStartTolerance | None = None
    slow_balancers: int = 0
    link_mbps: float = 1.0
    uploaders: int = 0
    requests_per_flow: float = float("inf")
    slow_opening_share: float = 0.0
    max_hedged_share: float = 0.0

    @property
    def max_cold_openings(self) -> float:
        """The most new flows that a cold backend server may get within a second."""
        if self.cold_start_limit is None or self.cold_start_tolerance is None:
            return float("inf")
        return self.cold_start_tolerance.max_openings(self.cold_start_limit)

    @classmethod
    def draw(cls, seed: int) -> SoakExtras:
        """Return the extras of a seed."""
        random_source = random.Random(seed + EXTRAS_SEED_OFFSET)
        return cls(
            evacuation_probability=0.2,
            cold_start_limit=ColdStartLimit(
                rate_per_s=random_source.choice((1.0, 2.0, 4.0)),
                duration_s=random_source.uniform(3.0, 8.0),
            ),
            cold_start_tolerance=ColdStartTolerance(
                overage=random_source.choice((1.0, 1.5)), slack=1.0
            ),
            slow_balancers=random_source.choice((0, 1, 2)),
            link_mbps=random_source.choice((1.0, 2.0, 4.0)),
            uploaders=4,
            requests_per_flow=random_source.choice((1, 3)),
            slow_opening_share=random_source.choice((0.0, 0.1)),
            max_hedged_share=random_source.choice((0.0, 0.1, 0.3)),
        )
