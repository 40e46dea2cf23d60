from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_agent.requests import Header
from oleanderweir_agent.requests import Request
from tests.oleanderweir_agent.fault_matrix.cell import Way
from tests.oleanderweir_agent.fault_matrix.recording_responder import RecordingResponder
from tests.oleanderweir_agent.fault_matrix.script import Script
from tests.oleanderweir_agent.fault_matrix.scripted_connection import answer_body
from tests.oleanderweir_agent.fault_matrix.world import DRAIN_PERIOD_S
from tests.oleanderweir_agent.fault_matrix.world import World


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.cell import Cell


REQUEST_ID = "request-1"
DEADLINE_S = 2.0
ALL_OVER_S = 30.0
BODY = b"x" * 100_000


@attrs.define(kw_only=True, eq=False)
class CellRun:
    """One run of a cell, and what came of it."""

    cell: Cell
    world: World
    responder: RecordingResponder = attrs.field(factory=RecordingResponder)
    deadline: float = 0.0

    @property
    def runs(self) -> int:
        return self.world.ledger.count(REQUEST_ID)

    async def call(self) -> None:
        """Send the request as a caller's connection does."""
        now = trio.current_time()
        self.deadline = now + DEADLINE_S
        request = Request(
            request_id=REQUEST_ID,
            method=self.cell.method,
            path="/reports",
            headers=(Header(name=b":authority", value=b"items.example"),),
            body=BODY if self.cell.method == "POST" else b"",
            arrived_at=now,
            deadline=self.deadline,
        )
        try:
            with self.world.caller:
                await self.world.service.handle(request, self.responder)
        finally:
            self.responder.reset()

    @property
    def is_not_run_true(self) -> bool:
        return not (self.responder.says_not_run and self.runs)

    @property
    def is_at_most_once(self) -> bool:
        return self.cell.method == "GET" or self.runs <= 1

    @property
    def is_answer_whole(self) -> bool:
        """Whether an answer that ended is all of the request's own answer."""
        head = self.responder.head
        if not self.responder.is_finished or head is None or head.status != 200:
            return True
        return bytes(self.responder.body) == answer_body(REQUEST_ID) and self.runs > 0

    @property
    def is_in_time(self) -> bool:
        ended_at = self.responder.ended_at
        return ended_at is not None and ended_at <= self.deadline

    @property
    def is_all_given_back(self) -> bool:
        return all(agent.is_all_given_back for agent in self.world.agents.values())

    def find_violations(self) -> list[str]:
        """Return the rules that this run broke."""
        rules = {
            "a POST ran twice": self.is_at_most_once,
            "a false 'not run'": self.is_not_run_true,
            "an answer that ended was not whole": self.is_answer_whole,
            "no end within the deadline": self.is_in_time,
            "a slot or count was not given back": self.is_all_given_back,
        }
        return [rule for rule, is_kept in rules.items() if not is_kept]


async def run_cell(cell: Cell) -> CellRun:
    """Run a cell until nothing of it can happen any more."""
    async with trio.open_nursery() as nursery:
        world = World(script=Script(strikes=list(cell.strikes)), nursery=nursery)
        if cell.way is Way.PEER:
            world.agents["a"].drain.begin(drain_period_s=DRAIN_PERIOD_S)
        run = CellRun(cell=cell, world=world)
        await run.call()
        await trio.sleep(ALL_OVER_S)
        nursery.cancel_scope.cancel()
    return run
