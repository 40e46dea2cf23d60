"""Execution of simulated work in the slots of a backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.backend.run_outcome import RunOutcome


if TYPE_CHECKING:
    from oleanderweir_bench.backend.backend_options import BackendOptions
    from oleanderweir_bench.backend.run_ledger import RunLedger
    from oleanderweir_bench.backend.run_request import RunRequest


COLD_SPEED_SHARE = 0.25


class Executor:
    """
    Runs simulated work in the slots of a backend server.

    Create it inside ``trio.run``: the cold start begins at the creation.
    """

    def __init__(self, *, options: BackendOptions, ledger: RunLedger) -> None:
        self.options = options
        self.ledger = ledger
        self.limiter = trio.CapacityLimiter(options.slots)
        self.started_at = trio.current_time()

    @property
    def busy(self) -> int:
        """The number of running requests."""
        return int(self.limiter.borrowed_tokens)

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return self.limiter.statistics().tasks_waiting

    @property
    def is_full(self) -> bool:
        """Whether all slots are busy and the queue is full."""
        has_slot = self.limiter.available_tokens > 0
        return not has_slot and self.queued >= self.options.queue_limit

    @property
    def speed(self) -> float:
        """The current speed, reduced during the cold start."""
        age_s = trio.current_time() - self.started_at
        if age_s >= self.options.cold_start_s:
            return self.options.speed
        warm_up_progress = age_s / self.options.cold_start_s
        speed_share = COLD_SPEED_SHARE + (1 - COLD_SPEED_SHARE) * warm_up_progress
        return self.options.speed * speed_share

    def set_options(self, options: BackendOptions) -> None:
        """Replace the options, including the number of slots."""
        self.options = options
        self.limiter.total_tokens = options.slots

    async def execute(self, run: RunRequest) -> RunOutcome:
        """
        Run a request in a slot and return its outcome.

        If the call is cancelled after the start, the run is recorded as cancelled.
        """
        if self.is_full:
            return RunOutcome.SHED
        is_started = False
        with trio.move_on_at(run.deadline):
            async with self.limiter:
                is_started = True
                await self.simulate_work(run)
                return RunOutcome.RAN
        return RunOutcome.TIMED_OUT if is_started else RunOutcome.EXPIRED

    async def simulate_work(self, run: RunRequest) -> None:
        """Sleep for the duration of the work, and record the run in the ledger."""
        record = self.ledger.record_start(run)
        outcome = RunOutcome.RAN
        try:
            await trio.sleep(run.work_ms / 1000 / self.speed)
        except trio.Cancelled:
            is_late = run.deadline < math.inf and trio.current_time() >= run.deadline
            outcome = RunOutcome.TIMED_OUT if is_late else RunOutcome.CANCELLED
            raise
        finally:
            self.ledger.record_end(record, outcome)
