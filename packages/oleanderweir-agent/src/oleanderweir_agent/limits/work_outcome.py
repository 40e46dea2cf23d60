"""The outcome of one run at the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_agent.limits.work_result import WorkResult


@attrs.frozen(kw_only=True)
class WorkOutcome:
    """
    The outcome of one run at the backend server.

    ``in_flight`` is the number of requests that were running when it completed,
    including itself. ``expected_s`` is the expected service time of its route.
    """

    result: WorkResult
    service_time_s: float
    expected_s: float
    in_flight: int
    retry_after_s: float | None = None
