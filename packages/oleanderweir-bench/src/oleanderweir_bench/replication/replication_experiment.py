"""Measures the replication of tickets between real nodes."""

from __future__ import annotations

import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.keys import CertificateAuthority
from oleanderweir_bench.replication.burst_outcome import BurstOutcome
from oleanderweir_bench.replication.fleet import Fleet
from oleanderweir_bench.replication.freeze_outcome import FreezeOutcome
from oleanderweir_bench.replication.platform_stand_ins import PlatformStandIns
from oleanderweir_bench.replication.platform_stand_ins import serve_stand_in
from oleanderweir_bench.replication.replacement_outcome import ReplacementOutcome
from oleanderweir_bench.replication.replication_result import ReplicationResult
from oleanderweir_bench.replication.rest_outcome import RestOutcome
from oleanderweir_bench.replication.usage_per_node import UsagePerNode
from oleanderweir_bench.replication.worker_plan import WorkerPlan
from oleanderweir_bench.replication.worker_process import WorkerProcess


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir_bench.replication.messages import WorkerUsage
    from oleanderweir_bench.replication.replication_plan import ReplicationPlan


SETTLE_S = 5.0


@attrs.define(kw_only=True, eq=False)
class ReplicationExperiment:
    """
    Measures replication in one fleet of nodes.

    The phases are the boot, rest, single tickets, a burst of tickets, a frozen worker
    and the replacement of half of the nodes.
    """

    plan: ReplicationPlan
    fleet: Fleet
    platform: PlatformStandIns

    @classmethod
    @asynccontextmanager
    async def prepare(
        cls, plan: ReplicationPlan
    ) -> AsyncIterator[ReplicationExperiment]:
        """Start the stand-ins and the workers; stop them on exit."""
        platform = PlatformStandIns()
        fleet = Fleet(workers=[], instances=platform.instances.state)
        experiment = cls(plan=plan, fleet=fleet, platform=platform)
        async with trio.open_nursery() as nursery:
            with tempfile.TemporaryDirectory() as folder:
                worker_plan = await make_worker_plan(platform, Path(folder), nursery)
                try:
                    await experiment.start_workers(nursery, worker_plan)
                    yield experiment
                finally:
                    with trio.CancelScope(shield=True):
                        for worker in fleet.workers:
                            await worker.stop()
            nursery.cancel_scope.cancel()

    async def start_workers(
        self, nursery: trio.Nursery, worker_plan: WorkerPlan
    ) -> None:
        """Start the worker processes and read their reports."""
        for _ in range(self.plan.worker_count):
            worker = await WorkerProcess.start(worker_plan, self.fleet.on_report)
            self.fleet.workers.append(worker)
            nursery.start_soon(worker.read_reports)

    async def run(self) -> ReplicationResult:
        """Run every phase and return the measurements."""
        boot_s = await self.boot()
        await trio.sleep(SETTLE_S)
        rest = await self.measure_rest()
        before = await self.fleet.fetch_usages()
        spread_s = await self.publish_singles()
        singles_usage = await self.usage_since(before)
        before = await self.fleet.fetch_usages()
        burst = await self.publish_burst()
        burst_usage = await self.usage_since(before)
        peak_reads_per_s = self.platform.peak_reads_per_s
        waiting_watches = self.platform.waiting_watches
        freeze = await self.freeze_worker()
        before = await self.fleet.fetch_usages()
        replacement = await self.replace_half()
        replacement_usage = await self.usage_since(before)
        return ReplicationResult(
            node_count=self.plan.node_count,
            boot_s=boot_s,
            spread_s=spread_s,
            missed=self.plan.single_tickets - len(spread_s),
            rest=rest.usage,
            singles=singles_usage,
            burst=burst_usage,
            burst_s=burst.burst_s,
            is_burst_complete=burst.is_complete,
            rest_reads_per_s=rest.reads_per_s,
            peak_reads_per_s=peak_reads_per_s,
            waiting_watches=waiting_watches,
            frozen=freeze.frozen,
            frozen_spread_s=freeze.spread_s,
            catch_up_s=freeze.catch_up_s,
            replaced=replacement.replaced,
            replacement_bytes=self.bytes_per_replaced_node(
                replacement.replaced, during=replacement_usage, rest=rest.usage
            ),
            replaced_ready_s=replacement.ready_s,
            is_replacement_ready=replacement.is_ready,
            is_ticket_kept=replacement.is_ticket_kept,
        )

    async def boot(self) -> float:
        """Start every node at once; return the seconds until all are ready."""
        for _ in range(self.plan.preset_tickets):
            self.platform.publish(self.plan.services_per_ticket)
        started_s = self.fleet.now_s()
        await self.fleet.start(self.plan.node_count)
        await self.fleet.wait_ready(timeout_s=self.plan.timeout_s)
        return self.fleet.now_s() - started_s

    async def measure_rest(self) -> RestOutcome:
        """Measure reads and usage while nothing changes."""
        before = await self.fleet.fetch_usages()
        calls_before = self.platform.count_calls()
        await trio.sleep(self.plan.rest_s)
        usage = await self.usage_since(before)
        waiting = self.platform.waiting_watches
        calls = self.platform.count_calls() - calls_before
        return RestOutcome(reads_per_s=calls / usage.duration_s + waiting, usage=usage)

    async def publish_singles(self) -> list[float]:
        """Publish single tickets; return the seconds until each was in force."""
        return await self.publish_in_turn(
            self.plan.single_tickets, interval_s=self.plan.single_interval_s
        )

    async def publish_in_turn(
        self, count: int, *, interval_s: float, names: frozenset[str] | None = None
    ) -> list[float]:
        """
        Publish tickets one at a time.

        Return the seconds until each was in force on the last of the named nodes, by
        default of all, without tickets that missed the timeout.
        """
        spread_s = []
        for _ in range(count):
            published_s = self.fleet.now_s()
            ticket = self.platform.publish()
            if await self.fleet.wait_in_force(
                [ticket], timeout_s=self.plan.timeout_s, names=names
            ):
                spread_s.append(self.fleet.last_in_force_s(ticket, names) - published_s)
            await trio.sleep(interval_s)
        return spread_s

    async def publish_burst(self) -> BurstOutcome:
        """Publish many tickets at once."""
        published_s = self.fleet.now_s()
        tickets = [self.platform.publish() for _ in range(self.plan.burst_tickets)]
        is_complete = await self.fleet.wait_in_force(
            tickets, timeout_s=self.plan.timeout_s
        )
        return BurstOutcome(
            burst_s=self.fleet.now_s() - published_s, is_complete=is_complete
        )

    async def freeze_worker(self) -> FreezeOutcome:
        """Freeze one worker, publish tickets meanwhile, then resume the worker."""
        worker = self.fleet.workers[-1]
        running = self.fleet.names_on_other_workers(worker)
        worker.freeze()
        spread_s = await self.publish_in_turn(
            self.plan.frozen_tickets,
            interval_s=self.plan.freeze_s / self.plan.frozen_tickets,
            names=running,
        )
        thawed_s = self.fleet.now_s()
        worker.thaw()
        await self.fleet.wait_in_force(
            [self.platform.newest_ticket], timeout_s=self.plan.timeout_s
        )
        return FreezeOutcome(
            frozen=self.plan.node_count - len(running),
            spread_s=spread_s,
            catch_up_s=self.fleet.now_s() - thawed_s,
        )

    async def replace_half(self) -> ReplacementOutcome:
        """
        Replace half of the nodes while the configuration service has faults.

        It is down for the first quarter and serves stale state for the second.
        """
        newest = self.platform.newest_ticket
        conditions = self.platform.configuration.conditions
        started_s = self.fleet.now_s()
        old = sorted(self.fleet.plans)[: self.plan.node_count // 2]
        half = len(old) // 2
        is_ready = True
        conditions.is_down = True
        for names in (old[:half], old[half:]):
            await self.fleet.stop(names)
            await self.fleet.start(len(names))
            timeout_s = self.plan.timeout_s
            is_ready &= await self.fleet.wait_ready(timeout_s=timeout_s)
            conditions.is_down = False
            conditions.stale_at = self.plan.preset_tickets
        ready_s = self.fleet.now_s() - started_s
        await trio.sleep(SETTLE_S)
        return ReplacementOutcome(
            replaced=len(old),
            ready_s=ready_s,
            is_ready=is_ready,
            is_ticket_kept=self.fleet.is_in_force(newest),
        )

    async def usage_since(self, before: list[WorkerUsage]) -> UsagePerNode:
        """Return the usage per node since an earlier reading."""
        after = await self.fleet.fetch_usages()
        return UsagePerNode.between(before, after, node_count=self.plan.node_count)

    def bytes_per_replaced_node(
        self, replaced: int, *, during: UsagePerNode, rest: UsagePerNode
    ) -> float:
        """Return the control bytes of all nodes beyond those of the time at rest."""
        surplus_bytes_per_s = during.control_bytes_per_s - rest.control_bytes_per_s
        surplus_bytes = surplus_bytes_per_s * during.duration_s
        return surplus_bytes * self.plan.node_count / replaced


async def make_worker_plan(
    platform: PlatformStandIns, folder: Path, nursery: trio.Nursery
) -> WorkerPlan:
    """Serve the stand-ins and write the peer credentials for the workers."""
    credentials = CertificateAuthority().write_peer_credentials(folder)
    return WorkerPlan(
        configuration_url=await serve_stand_in(platform.configuration, nursery),
        instance_list_url=await serve_stand_in(platform.instances, nursery),
        certificate_path=credentials.certificate_path,
        key_path=credentials.key_path,
        authority_path=credentials.authority_path,
    )
