"""Runs work in the slots of a backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.backend.run_outcome import RunOutcome


if TYPE_CHECKING:
    from oleanderweir_bench.backend.knobs import Knobs
    from oleanderweir_bench.backend.run_ledger import RunLedger
    from oleanderweir_bench.backend.run_request import RunRequest


COLD_SPEED_SHARE = 0.25


class Executor:
    """
    Runs work in the slots of a backend server.

    Must be made inside trio: the cold start counts from then on.
    """

    def __init__(self, *, knobs: Knobs, ledger: RunLedger) -> None:
        self.knobs = knobs
        self.ledger = ledger
        self.limiter = trio.CapacityLimiter(knobs.slots)
        self.started_at = trio.current_time()

    @property
    def busy(self) -> int:
        """How many requests run."""
        return int(self.limiter.borrowed_tokens)

    @property
    def queued(self) -> int:
        """How many requests wait for a slot."""
        return self.limiter.statistics().tasks_waiting

    @property
    def is_full(self) -> bool:
        """Whether one more request would find no place."""
        has_slot = self.limiter.available_tokens > 0
        return not has_slot and self.queued >= self.knobs.queue_limit

    @property
    def speed(self) -> float:
        """The present speed, with the cold start counted in."""
        age_s = trio.current_time() - self.started_at
        if age_s >= self.knobs.cold_start_s:
            return self.knobs.speed
        warmth = age_s / self.knobs.cold_start_s
        share = COLD_SPEED_SHARE + (1 - COLD_SPEED_SHARE) * warmth
        return self.knobs.speed * share

    def change(self, knobs: Knobs) -> None:
        """Behave by other knobs from now on."""
        self.knobs = knobs
        self.limiter.total_tokens = knobs.slots

    async def execute(self, run: RunRequest) -> RunOutcome:
        """
        Run a request in a slot and return how it ended.

        A cancelled call notes the run as cancelled.
        """
        if self.is_full:
            return RunOutcome.SHED
        is_started = False
        with trio.move_on_at(run.deadline):
            async with self.limiter:
                is_started = True
                await self.work(run)
                return RunOutcome.RAN
        return RunOutcome.TIMED_OUT if is_started else RunOutcome.EXPIRED

    async def work(self, run: RunRequest) -> None:
        """Spend the time that the work takes, and note it in the ledger."""
        record = self.ledger.start(run)
        outcome = RunOutcome.RAN
        try:
            await trio.sleep(run.work_ms / 1000 / self.speed)
        except trio.Cancelled:
            is_late = run.deadline < math.inf and trio.current_time() >= run.deadline
            outcome = RunOutcome.TIMED_OUT if is_late else RunOutcome.CANCELLED
            raise
        finally:
            self.ledger.end(record, outcome)
