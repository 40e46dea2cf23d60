from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import Request
from tests.oleanderweir_agent.fault_matrix.cell import RunLocation
from tests.oleanderweir_agent.fault_matrix.cluster import DRAIN_PERIOD_S
from tests.oleanderweir_agent.fault_matrix.cluster import PATH
from tests.oleanderweir_agent.fault_matrix.cluster import Cluster
from tests.oleanderweir_agent.fault_matrix.recording_responder import RecordingResponder
from tests.oleanderweir_agent.fault_matrix.script import Script
from tests.oleanderweir_agent.fault_matrix.scripted_connection import response_body


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.cell import Cell


REQUEST_ID = "request-1"
DEADLINE_S = 2.0
SETTLE_S = 30.0
BODY = b"x" * 100_000


@attrs.define(kw_only=True, eq=False)
class CellRun:
    """One run of a cell and its result."""

    cell: Cell
    cluster: Cluster
    responder: RecordingResponder = attrs.field(factory=RecordingResponder)
    deadline: float = 0.0

    @property
    def run_count(self) -> int:
        return self.cluster.runs.count(REQUEST_ID)

    async def send_request(self) -> None:
        """Send the request as a caller's connection does, and reset the response."""
        now = trio.current_time()
        self.deadline = now + DEADLINE_S
        request = Request(
            request_id=REQUEST_ID,
            method=self.cell.method,
            path=PATH,
            headers=(Header(name=b":authority", value=b"items.example"),),
            body=BODY if self.cell.method == "POST" else b"",
            arrived_at=now,
            deadline=self.deadline,
        )
        try:
            with self.cluster.caller:
                await self.cluster.service.handle(request, self.responder)
        finally:
            self.responder.reset()

    @property
    def is_not_run_correct(self) -> bool:
        return not (self.responder.reports_not_run and self.run_count)

    @property
    def is_at_most_once(self) -> bool:
        return self.cell.method == "GET" or self.run_count <= 1

    @property
    def is_response_intact(self) -> bool:
        """Whether a completed response is the full one to this request."""
        head = self.responder.head
        if not self.responder.is_finished or head is None or head.status != 200:
            return True
        return (
            bytes(self.responder.body) == response_body(REQUEST_ID)
            and self.run_count > 0
        )

    @property
    def is_within_deadline(self) -> bool:
        closed_at = self.responder.closed_at
        return closed_at is not None and closed_at <= self.deadline

    @property
    def has_released_all(self) -> bool:
        return all(agent.has_released_all for agent in self.cluster.agents.values())

    def find_violations(self) -> list[str]:
        """Return the guarantees that this run violated."""
        guarantees = {
            "a POST request ran more than once": self.is_at_most_once,
            "a request that ran was reported as not run": self.is_not_run_correct,
            "a completed response was truncated or altered": self.is_response_intact,
            "the response was not closed within the deadline": self.is_within_deadline,
            "a slot, queue entry or count was not released": self.has_released_all,
        }
        return [violation for violation, is_met in guarantees.items() if not is_met]


async def run_cell(cell: Cell) -> CellRun:
    """Run a cell until all its tasks have had time to finish."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(
            script=Script(scheduled_faults=list(cell.scheduled_faults)), nursery=nursery
        )
        if cell.location is RunLocation.PEER:
            cluster.agents["a"].drain.begin(drain_period_s=DRAIN_PERIOD_S)
        if cell.has_copies:
            cluster.allow_copies(method=cell.method)
        run = CellRun(cell=cell, cluster=cluster)
        await run.send_request()
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    return run
