from __future__ import annotations

from oleanderweir_agent.limits import ConcurrencyLimit
from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


def record_run(
    limit: ConcurrencyLimit,
    result: WorkResult,
    *,
    service_time_s: float = 0.1,
    retry_after_s: float | None = None,
) -> None:
    limit.record(
        WorkOutcome(
            result=result,
            service_time_s=service_time_s,
            expected_s=0.1,
            in_flight=limit.limit,
            retry_after_s=retry_after_s,
        )
    )
