"""Opens sessions in steps and measures the resource usage of each process."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import attrs
import httpx
import trio
from prometheus_client.parser import text_string_to_metric_families

from oleanderweir_bench.sessions.session_cost import SessionCost


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.callers import Feed
    from oleanderweir_bench.callers import Http3Caller
    from oleanderweir_bench.deployment import Deployment


BALANCERS = 3
BACKEND_SERVERS = 3
SETTLE_S = 3.0
MEASURE_S = 8.0
OPEN_INTERVAL_S = 0.015
MEMORY = "process_resident_memory_bytes"
CPU = "process_cpu_seconds_total"


@attrs.frozen(kw_only=True)
class Usage:
    """Memory in bytes and processor time in seconds of one process."""

    memory_bytes: float
    cpu_s: float


@attrs.define(kw_only=True, eq=False)
class SessionCostExperiment:
    """
    Keeps a rising number of sessions open, each with a feed of one tick a second.

    ``steps`` are the numbers of sessions to measure at, in rising order.
    ``report_progress`` is called with each progress message.
    """

    deployment: Deployment
    steps: Sequence[int]
    report_progress: Callable[[str], None]
    failures: int = 0

    async def run(self) -> list[SessionCost]:
        """Start the deployment and measure at each step."""
        await self.deployment.start(
            balancers=BALANCERS, backend_servers=BACKEND_SERVERS
        )
        costs: list[SessionCost] = []
        async with trio.open_nursery() as nursery:
            opened = 0
            for step in self.steps:
                for _ in range(step - opened):
                    nursery.start_soon(self._keep_session_open)
                    await trio.sleep(OPEN_INTERVAL_S)
                opened = step
                await trio.sleep(SETTLE_S)
                costs.append(await self._measure(step))
                self.report_progress(
                    f"{step} sessions measured, {self.failures} failed."
                )
            nursery.cancel_scope.cancel()
        return costs

    async def _keep_session_open(self) -> None:
        """Keep one session with a feed open until cancelled."""
        async with AsyncExitStack() as stack:
            try:
                caller = await stack.enter_async_context(
                    self.deployment.create_caller()
                )
                await self._read_feed(caller)
            except Exception as error:
                self.failures += 1
                self.report_progress(f"a session failed: {error!r}")

    async def _read_feed(self, caller: Http3Caller) -> None:
        """Read a feed until it ends."""
        feed: Feed = await caller.open_feed("/feed?interval_ms=1000")
        async with feed:
            async for _ in feed:
                continue

    async def _measure(self, sessions: int) -> SessionCost:
        """Return the usage of the processes over ``MEASURE_S`` seconds."""
        started_at = trio.current_time()
        before = await self._read_usages()
        await trio.sleep(MEASURE_S)
        after = await self._read_usages()
        # On a busy machine the sleep ends late, so the window exceeds MEASURE_S.
        window_s = trio.current_time() - started_at
        balancers, agents = (
            [(early, late) for early, late in zip(first, second, strict=True)]
            for first, second in zip(before, after, strict=True)
        )
        return SessionCost(
            sessions=sessions,
            balancer_memory_bytes=mean_memory(balancers),
            agent_memory_bytes=mean_memory(agents),
            balancer_cpu_share=mean_cpu_share(balancers, window_s),
            agent_cpu_share=mean_cpu_share(agents, window_s),
        )

    async def _read_usages(self) -> tuple[list[Usage], list[Usage]]:
        """Return the usage of every balancer and of every agent so far."""
        async with httpx.AsyncClient() as client:
            balancers = [
                await read_usage(client, balancer.admin_address)
                for balancer in self.deployment.balancers.values()
            ]
            agents = [
                await read_usage(client, server.admin_address)
                for server in self.deployment.servers.values()
            ]
        return balancers, agents


async def read_usage(client: httpx.AsyncClient, address: SocketAddress) -> Usage:
    """Return the usage that a process reports at its admin address."""
    text = (await client.get(f"http://{address}/metrics")).text
    values = {
        sample.name: sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name in {MEMORY, CPU}
    }
    return Usage(memory_bytes=values[MEMORY], cpu_s=values[CPU])


def mean_memory(pairs: Sequence[tuple[Usage, Usage]]) -> float:
    """Return the mean of the later memory readings, in bytes."""
    return sum(late.memory_bytes for _, late in pairs) / len(pairs)


def mean_cpu_share(pairs: Sequence[tuple[Usage, Usage]], window_s: float) -> float:
    """Return the mean share of one core between the readings."""
    spent_s = sum(late.cpu_s - early.cpu_s for early, late in pairs)
    return spent_s / len(pairs) / window_s
