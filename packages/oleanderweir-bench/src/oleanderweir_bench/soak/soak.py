"""Runs one soak."""

from __future__ import annotations

import os
import random
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.soak.faults import FAULTS
from oleanderweir_bench.soak.faults import leave
from oleanderweir_bench.soak.soak_report import SoakReport
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.soak_site import SoakSite
from oleanderweir_bench.soak.soak_site import copy_result


if TYPE_CHECKING:
    from oleanderweir_bench.soak.faults import Fault
    from oleanderweir_bench.soak.soak_plan import SoakPlan
    from oleanderweir_bench.soak.soak_process import SoakProcess


# Before the first packet: the processes start.
START_S = 2.5
# Between the beginnings of two faults.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.6
WATCH_INTERVAL_S = 0.2
# Calm that goes before the planned departure of a backend server at the end.
CALM_BEFORE_LEAVING_S = 5.0
SHOWN_LINES = 20
MAX_LOG_LINES = 100
# Second numbers of loopback addresses that soaks use.
FIRST_BLOCK = 16
BLOCKS = 200


class Soak:
    """Plays one plan."""

    def __init__(self, *, plan: SoakPlan, site: SoakSite) -> None:
        self.plan = plan
        self.site = site
        self.draw = random.Random(plan.seed)
        self.started_at = trio.current_time()
        self.events: list[str] = []
        self.log: list[str] = []

    async def run(self) -> SoakReport:
        """Start the site, do faults to it, and see whether it recovers."""
        site, plan = self.site, self.plan
        await site.start()
        await trio.sleep(START_S)
        self.started_at = trio.current_time()
        site.nursery.start_soon(self._watch)
        site.start_callers()
        async with trio.open_nursery() as nursery:
            await self._start_faults(nursery)
        calm_at = trio.current_time()
        await trio.sleep(CALM_BEFORE_LEAVING_S)
        feed = [it for it in site.backends if it.server.service == FEED]
        await leave(feed[0])
        await trio.sleep_until(calm_at + plan.recovery_s)
        before = copy_result(site.result)
        await trio.sleep(plan.measured_s)
        return SoakReport(
            seed=plan.seed,
            whole=copy_result(site.result),
            last=site.result.since(before),
            events=tuple(self.events),
            log=(*self.log, *site.tell_disputed()),
        )

    async def _start_faults(self, nursery: trio.Nursery) -> None:
        """Start faults one after the other; some overlap."""
        until = trio.current_time() + self.plan.faults_s
        while trio.current_time() < until:
            await trio.sleep(self.draw.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            nursery.start_soon(self._do, self.draw.choice(FAULTS))

    async def _do(self, fault: Fault) -> None:
        self._note(fault.__name__)
        self.site.note_trouble(float("inf"))
        await fault(self.site, self.draw)
        self.site.troubled_until = trio.current_time()
        self._note(f"{fault.__name__} is over")

    async def _watch(self) -> None:
        """Count processes that ended by themselves, and start them again."""
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            for process in self.site.processes:
                if not process.has_ended_by_itself or process.running is None:
                    continue
                self.site.result.own_ends += 1
                self._note(f"{process.host} ended by itself")
                self._keep_lines(process)
                await process.start()

    def _keep_lines(self, process: SoakProcess) -> None:
        """Keep the last lines of a process that ended, if there is room."""
        if process.running is None or len(self.log) >= MAX_LOG_LINES:
            return
        lines = list(process.running.lines)[-SHOWN_LINES:]
        self.log.extend(f"{process.host}: {line.text}" for line in lines)

    def _note(self, event: str) -> None:
        self.events.append(f"{trio.current_time() - self.started_at:.2f} {event}")


async def run_soak(plan: SoakPlan) -> SoakReport:
    """Play one plan with processes of its own; end them all."""
    block = FIRST_BLOCK + os.getpid() % BLOCKS
    with tempfile.TemporaryDirectory() as folder:
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
