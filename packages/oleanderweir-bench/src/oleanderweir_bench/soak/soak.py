"""Runs one soak: starts the site, injects faults, checks the recovery."""

from __future__ import annotations

import os
import random
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.soak.address_block import reserve_block
from oleanderweir_bench.soak.extra_checks import count_refusals
from oleanderweir_bench.soak.faults import FAULTS
from oleanderweir_bench.soak.faults import drain_and_stop
from oleanderweir_bench.soak.faults import evacuate_zone
from oleanderweir_bench.soak.soak_extras import EXTRAS_SEED_OFFSET
from oleanderweir_bench.soak.soak_report import SoakReport
from oleanderweir_bench.soak.soak_site import EVACUATION_PROPAGATION_S
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.soak_site import ZONES
from oleanderweir_bench.soak.soak_site import SoakSite
from oleanderweir_bench.soak.soak_site import copy_result
from oleanderweir_bench.soak.store_faults import restore_store


if TYPE_CHECKING:
    from oleanderweir_bench.soak.faults import Fault
    from oleanderweir_bench.soak.soak_plan import SoakPlan
    from oleanderweir_bench.soak.soak_process import SoakProcess


# Time for the processes to start before callers send the first packet.
STARTUP_S = 2.5
# Bounds of the random time between the starts of two faults.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.6
POLL_INTERVAL_S = 0.2
# Time without faults before a backend server is drained at the end.
FAULT_FREE_BEFORE_DRAIN_S = 5.0
RESTORE_SEED_OFFSET = 1_000_000
# For how long no flow may be refused once the end of an evacuation is in force.
REFUSALS_CHECK_S = 2.0
MAX_LINES_PER_EXIT = 20
MAX_LOG_LINES = 100


class Soak:
    """Runs one plan on a site."""

    def __init__(self, *, plan: SoakPlan, site: SoakSite) -> None:
        self.plan = plan
        self.site = site
        self.random_source = random.Random(plan.seed)
        # Separate, so that restores don't change the other faults of a seed.
        self.restore_source = random.Random(plan.seed + RESTORE_SEED_OFFSET)
        self.extras_source = random.Random(plan.seed + EXTRAS_SEED_OFFSET)
        self.started_at = trio.current_time()
        self.events: list[str] = []
        self.log: list[str] = []

    async def run(self) -> SoakReport:
        """Start the site, inject faults, and measure its recovery."""
        site, plan = self.site, self.plan
        await site.start()
        await trio.sleep(STARTUP_S)
        self.started_at = trio.current_time()
        site.nursery.start_soon(self._restart_exited)
        site.stall_watch.on_stall = self._record_stall
        site.nursery.start_soon(site.stall_watch.run)
        site.start_callers()
        async with trio.open_nursery() as nursery:
            await self._inject_faults(nursery)
        faults_ended_at = trio.current_time()
        await trio.sleep(FAULT_FREE_BEFORE_DRAIN_S)
        feed = [backend for backend in site.backends if backend.server.service == FEED]
        site.hedges.start()
        zone = self.extras_source.choice(ZONES)
        if plan.extras.evacuation_probability:
            self._record_event(f"zone {zone} is evacuated")
            site.order_evacuation(zone)
        self._record_event(f"{feed[0].server.host} drains")
        await drain_and_stop(feed[0])
        if plan.extras.cold_start_limit is not None:
            self._record_event(f"{feed[0].server.host} is replaced")
            site.replace_backend(feed[0])
            await feed[0].agent.start()
        await trio.sleep_until(faults_ended_at + plan.recovery_s)
        before = copy_result(site.result)
        withdrawn_at = trio.current_time()
        if plan.extras.evacuation_probability:
            site.withdraw_evacuation(zone)
            self._record_event(f"zone {zone} is taken back")
        await trio.sleep(plan.measured_s)
        after_recovery = site.result.since(before)
        if plan.extras.evacuation_probability:
            await self._check_refusals(withdrawn_at)
        site.result.hedge_excess += site.hedges.count_excess()
        return SoakReport(
            seed=plan.seed,
            overall=copy_result(site.result),
            after_recovery=after_recovery,
            events=tuple(self.events),
            log=(*self.log, *site.trace_violations()),
        )

    async def _check_refusals(self, withdrawn_at: float) -> None:
        """Count refusals for the last evacuation once its end is in force."""
        stall_watch = self.site.stall_watch
        # While this process doesn't run, the store doesn't either.
        while trio.current_time() < (
            withdrawn_at
            + EVACUATION_PROPAGATION_S
            + stall_watch.stalled_since(withdrawn_at)
        ):
            await trio.sleep(POLL_INTERVAL_S)
        before = count_refusals(self.site.log_lines())
        await trio.sleep(REFUSALS_CHECK_S)
        refusals = count_refusals(self.site.log_lines())
        self.site.result.late_refusals += refusals - before

    async def _inject_faults(self, nursery: trio.Nursery) -> None:
        """Start faults at random times for ``faults_s``; they can overlap."""
        until = trio.current_time() + self.plan.faults_s
        while trio.current_time() < until:
            await trio.sleep(self.random_source.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            fault = self.random_source.choice(FAULTS)
            nursery.start_soon(self.run_fault, fault, self.random_source)
            if self.restore_source.random() < self.plan.restore_probability:
                nursery.start_soon(self.run_fault, restore_store, self.restore_source)
            if self.extras_source.random() < self.plan.extras.evacuation_probability:
                nursery.start_soon(
                    self._run_recorded, evacuate_zone, self.extras_source
                )

    async def run_fault(self, fault: Fault, random_source: random.Random) -> None:
        """Run one fault and record when it starts and ends."""
        self.site.active_faults.start()
        await self._run_recorded(fault, random_source)
        self.site.active_faults.end()

    async def _run_recorded(self, fault: Fault, random_source: random.Random) -> None:
        self._record_event(fault.__name__)
        await fault(self.site, random_source)
        self._record_event(f"{fault.__name__} finished")

    async def _restart_exited(self) -> None:
        """Count processes that exited unexpectedly, and restart them."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            for process in self.site.processes:
                if not process.has_exited_unexpectedly or process.running is None:
                    continue
                self.site.result.own_ends += 1
                status = process.running.process.returncode
                self._record_event(f"{process.host} exited unexpectedly ({status})")
                self._record_last_lines(process)
                await process.start()

    def _record_last_lines(self, process: SoakProcess) -> None:
        """Copy the last output lines of an exited process, unless the log is full."""
        if process.running is None or len(self.log) >= MAX_LOG_LINES:
            return
        lines = list(process.running.lines)[-MAX_LINES_PER_EXIT:]
        self.log.extend(f"{process.host}: {line.text}" for line in lines)

    def _record_stall(self, seconds: float) -> None:
        self._record_event(f"the soak itself didn't run for {seconds:.2f} s")

    def _record_event(self, event: str) -> None:
        self.events.append(f"{trio.current_time() - self.started_at:.2f} {event}")


async def run_soak(plan: SoakPlan) -> SoakReport:
    """Run one plan with its own processes, and stop them all at the end."""
    with (
        tempfile.TemporaryDirectory() as folder,
        reserve_block(preferred=os.getpid()) as block,
    ):
        async with ProcessSupervisor() as supervisor, trio.open_nursery() as nursery:
            site = SoakSite(
                plan=plan,
                nursery=nursery,
                supervisor=supervisor,
                folder=Path(folder),
                block=block,
            )
            report = await Soak(plan=plan, site=site).run()
            nursery.cancel_scope.cancel()
    return report
