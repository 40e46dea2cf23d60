"""Demonstrates a caller that keeps its feed while a balancer is killed."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.demo.demo_check import DemoCheck


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir_bench.callers import Feed
    from oleanderweir_bench.callers import Http3Caller
    from oleanderweir_bench.deployment import Deployment


REPORT_ID = "station-17-0001"
BALANCERS = 3
BACKEND_SERVERS = 3
TICKS = 10
KILL_AFTER_TICK = 3
REMOVE_AFTER_TICK = 5
TICK_TIMEOUT_S = 10.0


class Demo:
    """
    Checks a bulletin, a report and a feed on a deployment.

    ``report_progress`` is called with a line for each step.
    """

    def __init__(
        self, *, deployment: Deployment, report_progress: Callable[[str], None]
    ) -> None:
        self.deployment = deployment
        self.report_progress = report_progress

    async def run(self) -> list[DemoCheck]:
        """Start the deployment, run the steps and return the checks."""
        self.report_progress(
            "Starting configuration service, fabric, balancers and agents ..."
        )
        await self.deployment.start(
            balancers=BALANCERS, backend_servers=BACKEND_SERVERS
        )
        self.report_progress(
            f"{BALANCERS} balancers and {BACKEND_SERVERS} agents are ready; "
            f"{self.deployment.service.name} is at {self.deployment.service.address}."
        )
        async with self.deployment.create_caller() as caller:
            handshake_ms = caller.handshake_s * 1000
            self.report_progress(
                f"A caller has opened a session in {handshake_ms:.0f} ms."
            )
            return [
                await self.check_bulletin(caller),
                await self.check_report(caller),
                await self.check_feed(caller),
            ]

    async def check_bulletin(self, caller: Http3Caller) -> DemoCheck:
        """Fetch the bulletin and check the response."""
        response = await caller.request("GET", "/bulletin")
        return DemoCheck(
            name="The bulletin is fetched",
            is_passed=response.status == 200 and len(response.body) > 0,
            observed=f"status {response.status}, {len(response.body)} bytes",
        )

    async def check_report(self, caller: Http3Caller) -> DemoCheck:
        """Post a clock report and check that it ran once."""
        body = json.dumps({"id": REPORT_ID}).encode()
        response = await caller.request("POST", "/reports", body=body)
        started = await self.deployment.list_started_item_ids()
        runs = started.count(REPORT_ID)
        return DemoCheck(
            name="A clock report runs once",
            is_passed=response.status == 200 and runs == 1,
            observed=f"status {response.status}, {runs} run(s)",
        )

    async def check_feed(self, caller: Http3Caller) -> DemoCheck:
        """Check that a feed has every tick while a balancer is killed."""
        feed = await caller.open_feed("/feed?interval_ms=1000")
        async with feed:
            ticks = await self.read_ticks(feed)
        expected = [f"tick {number}" for number in range(1, TICKS + 1)]
        return DemoCheck(
            name="A feed continues while a balancer is killed",
            is_passed=ticks == expected,
            observed=f"status {feed.status}, {len(ticks)} ticks"
            + (", none missing or doubled" if ticks == expected else f": {ticks}"),
        )

    async def read_ticks(self, feed: Feed) -> list[str]:
        """Read the ticks; meanwhile kill a balancer and remove it from the fabric."""
        balancer = self.deployment.balancers["balancer-1"]
        ticks: list[str] = []
        for number in range(1, TICKS + 1):
            tick = ""
            with trio.move_on_after(TICK_TIMEOUT_S):
                tick = await anext(feed, "")
            if not tick:
                self.report_progress(f"  no tick within {TICK_TIMEOUT_S} s")
                break
            ticks.append(tick)
            self.report_progress(f"  {tick}")
            if number == KILL_AFTER_TICK:
                balancer.process.kill()
                self.report_progress(
                    f"  {balancer.name} is killed; the fabric still sends to it."
                )
            if number == REMOVE_AFTER_TICK:
                await self.deployment.fabric.remove_balancer(balancer.host)
                self.report_progress(
                    "  The fabric now sends packets to the other balancers only."
                )
        return ticks
