"""The ledger of what a backend server ran."""

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
    """Return room for the newest records."""
    return deque(maxlen=MAX_RECORDS)


@attrs.define(kw_only=True, eq=False)
class RunLedger:
    """
    Notes the start and the end of every run.

    ``output`` gets a JSON line for each start and each end. ``now`` gives seconds since
    the Unix epoch.
    """

    backend_server: str
    now: Callable[[], float]
    output: TextIO | None = None
    records: deque[RunRecord] = attrs.field(factory=create_records)

    def record_start(self, run: RunRequest) -> RunRecord:
        """Note that a run starts."""
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
        """Note how a run ended."""
        record.outcome = outcome
        record.ended_at = self.now()
        self.write("run_ended", record)

    def write(self, event: str, record: RunRecord) -> None:
        """Write a JSON line."""
        if self.output is None:
            return
        line = {"event": event, **cattrs.unstructure(record)}
        self.output.write(json.dumps(line) + "\n")
        self.output.flush()
