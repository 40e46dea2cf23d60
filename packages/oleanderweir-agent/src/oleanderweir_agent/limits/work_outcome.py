"""What a limit learns from one run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_result import WorkResult


@attrs.frozen(kw_only=True)
class WorkOutcome:
    """
    The end of one run at the backend server.

    ``in_flight`` counts the requests that ran when it ended, itself included.
    ``expected_s`` is the service time that was expected of its route.
    """

    result: WorkResult
    service_time_s: float
    expected_s: float
    in_flight: int
    retry_after_s: float | None = None
