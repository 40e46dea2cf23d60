"""What became of a request of an experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.experiments.job import Job
    from oleanderweir_bench.experiments.job_outcome import JobOutcome


@attrs.frozen(kw_only=True)
class JobRecord:
    """What became of a request; ``ended_at`` is a trio time."""

    job: Job
    outcome: JobOutcome
    ended_at: float
    is_relayed: bool

    @property
    def latency_s(self) -> float:
        """The time from arrival to answer or refusal, in seconds."""
        return self.ended_at - self.job.arrived_at
