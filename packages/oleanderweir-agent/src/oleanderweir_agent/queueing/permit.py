"""The permit to run one request at the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.limits import WorkOutcome
from oleanderweir_agent.limits import WorkResult


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.work_request import WorkRequest


@attrs.define(kw_only=True, eq=False)
class Permit:
    """
    A slot that one request holds from its start until the ``admit`` block exits.

    Call ``record_result`` before the block exits; otherwise the run counts as
    abandoned and affects neither service times, limits nor health.
    """

    request: WorkRequest
    expected_s: float
    is_long: bool
    queued_s: float
    started_at: float = attrs.field(factory=trio.current_time)
    result: WorkResult = WorkResult.ABANDONED
    retry_after_s: float | None = None
    is_released: bool = False

    def record_result(
        self, result: WorkResult, *, retry_after_s: float | None = None
    ) -> None:
        """Set the result of the run; a later call replaces an earlier one."""
        self.result = result
        self.retry_after_s = retry_after_s

    def work_outcome(self, *, in_flight: int) -> WorkOutcome:
        """Return the outcome of the run, for the limit and the health check."""
        return WorkOutcome(
            result=self.result,
            service_time_s=trio.current_time() - self.started_at,
            expected_s=self.expected_s,
            in_flight=in_flight,
            retry_after_s=self.retry_after_s,
        )
