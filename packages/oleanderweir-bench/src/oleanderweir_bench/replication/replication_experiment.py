"""Measures the replication of tickets between real nodes."""

from __future__ import annotations

import json
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.keys import CertificateAuthority
from oleanderweir_bench.platform import ConfigurationServiceStandIn
from oleanderweir_bench.platform import serve_application
from oleanderweir_bench.replication.fleet import Fleet
from oleanderweir_bench.replication.node import LOOPBACK
from oleanderweir_bench.replication.replication_result import ReplicationResult
from oleanderweir_bench.replication.usage_per_node import UsagePerNode
from oleanderweir_bench.replication.worker_plan import WorkerPlan
from oleanderweir_bench.replication.worker_process import WorkerProcess


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir_bench.replication.messages import WorkerUsage
    from oleanderweir_bench.replication.replication_plan import ReplicationPlan


SETTLE_S = 5.0


def make_ticket(number: int, service_names: list[str]) -> str:
    """Return a ticket with the named services as JSON text."""
    services = {
        name: {
            "address": f"10.{number % 250}.{index // 250}.{index % 250 + 1}:443",
            "request_timeout_s": 10.0,
            "retry_ratio": 0.1,
            "feed_paths": ["/ticks", "/feed"],
        }
        for index, name in enumerate(service_names)
    }
    return json.dumps({"ticket": number, "services": services})


@attrs.define(kw_only=True, eq=False)
class ReplicationExperiment:
    """
    Measures replication in one fleet of nodes.

    The phases are the boot, rest, single tickets, a burst of tickets, a frozen worker
    and the replacement of half of the nodes.
    """

    plan: ReplicationPlan
    fleet: Fleet
    configuration: ConfigurationServiceStandIn
    instances: ConfigurationServiceStandIn

    @classmethod
    @asynccontextmanager
    async def prepare(
        cls, plan: ReplicationPlan
    ) -> AsyncIterator[ReplicationExperiment]:
        """Start the stand-ins and the workers; stop them on exit."""
        configuration = ConfigurationServiceStandIn()
        instances = ConfigurationServiceStandIn()
        async with trio.open_nursery() as nursery:
            urls = []
            for stand_in in (configuration, instances):
                address = await nursery.start(serve, stand_in)
                urls.append(f"http://{address}")
            with tempfile.TemporaryDirectory() as folder:
                authority = CertificateAuthority()
                credentials = authority.write_peer_credentials(Path(folder))
                worker_plan = WorkerPlan(
                    configuration_url=urls[0],
                    instance_list_url=urls[1],
                    certificate_path=credentials.certificate_path,
                    key_path=credentials.key_path,
                    authority_path=credentials.authority_path,
                )
                fleet = Fleet(workers=[], instances=instances.state)
                experiment = cls(
                    plan=plan,
                    fleet=fleet,
                    configuration=configuration,
                    instances=instances,
                )
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
        rest_reads_per_s, rest = await self.measure_rest()
        before = await self.fleet.fetch_usages()
        spread_s = await self.publish_singles()
        singles = await self.usage_since(before)
        before = await self.fleet.fetch_usages()
        burst_s, is_burst_complete = await self.publish_burst()
        burst = await self.usage_since(before)
        peak = self.peak_reads_per_s()
        watches = self.configuration.meter.waiting_watches
        frozen, frozen_spread_s, catch_up_s = await self.freeze_worker()
        before = await self.fleet.fetch_usages()
        replaced, ready_s, is_ready, is_kept = await self.replace_half()
        replacement = await self.usage_since(before)
        surplus_bytes_per_s = replacement.control_bytes_per_s - rest.control_bytes_per_s
        surplus_bytes = surplus_bytes_per_s * replacement.duration_s
        return ReplicationResult(
            node_count=self.plan.node_count,
            boot_s=boot_s,
            spread_s=spread_s,
            missed=self.plan.single_tickets - len(spread_s),
            rest=rest,
            singles=singles,
            burst=burst,
            burst_s=burst_s,
            is_burst_complete=is_burst_complete,
            rest_reads_per_s=rest_reads_per_s,
            peak_reads_per_s=peak,
            waiting_watches=watches,
            frozen=frozen,
            frozen_spread_s=frozen_spread_s,
            catch_up_s=catch_up_s,
            replaced=replaced,
            replacement_bytes=surplus_bytes * self.plan.node_count / replaced,
            replaced_ready_s=ready_s,
            is_replacement_ready=is_ready,
            is_ticket_kept=is_kept,
        )

    async def boot(self) -> float:
        """Start every node at once; return the seconds until all are ready."""
        for _ in range(self.plan.preset_tickets):
            self.publish(self.plan.services_per_ticket)
        started_s = self.fleet.now_s()
        await self.fleet.start(self.plan.node_count)
        await self.fleet.wait_ready(timeout_s=self.plan.timeout_s)
        return self.fleet.now_s() - started_s

    def publish(self, service_count: int = 1) -> int:
        """Publish the next ticket; return its number."""
        number = self.configuration.state.highest_ticket + 1
        names = [f"service-{number}-{n}" for n in range(service_count)]
        return self.configuration.state.publish(make_ticket(number, names))

    async def measure_rest(self) -> tuple[float, UsagePerNode]:
        """
        Return reads per second and usage per node while nothing changes.

        A waiting watch counts as one read per second.
        """
        before = await self.fleet.fetch_usages()
        calls_before = self.count_calls()
        await trio.sleep(self.plan.rest_s)
        usage = await self.usage_since(before)
        waiting = self.configuration.meter.waiting_watches
        return (self.count_calls() - calls_before) / usage.duration_s + waiting, usage

    async def publish_singles(self) -> list[float]:
        """
        Publish tickets one at a time.

        Return the seconds until each was in force on the last node, without tickets
        that missed the timeout.
        """
        spread_s = []
        for _ in range(self.plan.single_tickets):
            published_s = self.fleet.now_s()
            ticket = self.publish()
            if await self.fleet.wait_in_force([ticket], timeout_s=self.plan.timeout_s):
                spread_s.append(self.fleet.last_in_force_s(ticket) - published_s)
            await trio.sleep(self.plan.single_interval_s)
        return spread_s

    async def publish_burst(self) -> tuple[float, bool]:
        """
        Publish many tickets at once.

        Return the seconds until all were in force on every node, and whether that was
        within the timeout.
        """
        published_s = self.fleet.now_s()
        tickets = [self.publish() for _ in range(self.plan.burst_tickets)]
        is_complete = await self.fleet.wait_in_force(
            tickets, timeout_s=self.plan.timeout_s
        )
        return self.fleet.now_s() - published_s, is_complete

    async def freeze_worker(self) -> tuple[int, list[float], float]:
        """
        Freeze one worker, publish tickets meanwhile, then resume the worker.

        Return the number of frozen nodes, the seconds until each ticket was in force
        on the last running node, and the seconds that the frozen nodes needed to
        catch up.
        """
        worker = self.fleet.workers[-1]
        running = self.fleet.names_on_other_workers(worker)
        worker.freeze()
        spread_s = []
        for _ in range(self.plan.frozen_tickets):
            published_s = self.fleet.now_s()
            ticket = self.publish()
            if await self.fleet.wait_in_force(
                [ticket], timeout_s=self.plan.timeout_s, names=running
            ):
                spread_s.append(
                    self.fleet.last_in_force_s(ticket, running) - published_s
                )
            await trio.sleep(self.plan.freeze_s / self.plan.frozen_tickets)
        thawed_s = self.fleet.now_s()
        worker.thaw()
        await self.fleet.wait_in_force([ticket], timeout_s=self.plan.timeout_s)
        catch_up_s = self.fleet.now_s() - thawed_s
        return self.plan.node_count - len(running), spread_s, catch_up_s

    async def replace_half(self) -> tuple[int, float, bool, bool]:
        """
        Replace half of the nodes while the configuration service has faults.

        It is down for the first quarter and serves stale state for the second. Return
        the number of replaced nodes, the seconds until all were ready, whether they
        were ready within the timeout, and whether the newest ticket is in force on
        every node.
        """
        newest = self.configuration.state.highest_ticket
        started_s = self.fleet.now_s()
        old = sorted(self.fleet.plans)[: self.plan.node_count // 2]
        half = len(old) // 2
        is_ready = True
        self.configuration.conditions.is_down = True
        for names in (old[:half], old[half:]):
            await self.fleet.stop(names)
            await self.fleet.start(len(names))
            timeout_s = self.plan.timeout_s
            is_ready &= await self.fleet.wait_ready(timeout_s=timeout_s)
            self.configuration.conditions.is_down = False
            self.configuration.conditions.stale_at = self.plan.preset_tickets
        ready_s = self.fleet.now_s() - started_s
        await trio.sleep(SETTLE_S)
        return len(old), ready_s, is_ready, self.fleet.is_in_force(newest)

    async def usage_since(self, before: list[WorkerUsage]) -> UsagePerNode:
        """Return the usage per node since an earlier reading."""
        after = await self.fleet.fetch_usages()
        return UsagePerNode.between(before, after, node_count=self.plan.node_count)

    def count_calls(self) -> int:
        """Return the number of calls to both stand-ins so far."""
        meters = (self.configuration.meter, self.instances.meter)
        return sum(sum(meter.calls.values()) for meter in meters)

    def peak_reads_per_s(self) -> int:
        """Return the higher of the stand-ins' peak reads per second."""
        return max(
            self.configuration.meter.peak_reads_per_s,
            self.instances.meter.peak_reads_per_s,
        )


async def serve(
    stand_in: ConfigurationServiceStandIn,
    *,
    task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stand-in on a free port of the loopback address."""
    await serve_application(
        stand_in.application, host=LOOPBACK, port=0, task_status=task_status
    )
