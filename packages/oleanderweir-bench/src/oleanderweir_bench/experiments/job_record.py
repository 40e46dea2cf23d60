"""The result of a simulated request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.job_outcome import JobOutcome


@attrs.frozen(kw_only=True)
class JobRecord:
    """The result of a simulated request; ``ended_at`` is a trio time."""

    job: Job
    outcome: JobOutcome
    ended_at: float
    is_relayed: bool

    @property
    def latency_s(self) -> float:
        """The time from the arrival to the outcome, in seconds."""
        return self.ended_at - self.job.arrived_at
