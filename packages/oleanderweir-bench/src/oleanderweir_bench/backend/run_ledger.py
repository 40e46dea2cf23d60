"""The ledger of the runs of a backend server."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING
from typing import TextIO

import attrs
import cattrs

from oleanderweir_bench.backend.run_record import RunRecord


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir_bench.backend.run_outcome import RunOutcome
    from oleanderweir_bench.backend.run_request import RunRequest


MAX_RECORDS = 100_000


def create_records() -> deque[RunRecord]:
    """Return an empty queue that keeps the newest ``MAX_RECORDS`` records."""
    return deque(maxlen=MAX_RECORDS)


@attrs.define(kw_only=True, eq=False)
class RunLedger:
    """
    Records the start and the end of every run.

    Each start and each end is written to ``output`` as a JSON line. ``now`` returns
    seconds since the Unix epoch.
    """

    backend_server: str
    now: Callable[[], float]
    output: TextIO | None = None
    records: deque[RunRecord] = attrs.field(factory=create_records)

    def record_start(self, run: RunRequest) -> RunRecord:
        """Record the start of a run."""
        record = RunRecord(
            backend_server=self.backend_server,
            request_id=run.request_id,
            route=run.route,
            item_id=run.item_id,
            started_at=self.now(),
        )
        self.records.append(record)
        self.write("run_started", record)
        return record

    def record_end(self, record: RunRecord, outcome: RunOutcome) -> None:
        """Record the end and the outcome of a run."""
        record.outcome = outcome
        record.ended_at = self.now()
        self.write("run_ended", record)

    def write(self, event: str, record: RunRecord) -> None:
        """Write an event to ``output`` as a JSON line."""
        if self.output is None:
            return
        line = {"event": event, **cattrs.unstructure(record)}
        self.output.write(json.dumps(line) + "\n")
        self.output.flush()
