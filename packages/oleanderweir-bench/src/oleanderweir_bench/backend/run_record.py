"""An entry of the ledger of runs."""

from __future__ import annotations

import attrs

from oleanderweir_bench.backend.run_outcome import RunOutcome


@attrs.define(kw_only=True)
class RunRecord:
    """
    A request that was started, and its outcome.

    Times are in seconds since the Unix epoch; ``ended_at`` is None while it runs.
    """

    backend_server: str
    request_id: str
    route: str
    item_id: str
    started_at: float
    ended_at: float | None = None
    outcome: RunOutcome = RunOutcome.RUNNING
