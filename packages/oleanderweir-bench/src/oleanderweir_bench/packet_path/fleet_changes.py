"""Series of changes that move flows between balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.packet_path.agent_faults import AgentFaults
from oleanderweir_bench.packet_path.balancer_faults import BalancerFaults
from oleanderweir_bench.packet_path.disturbed_hosts import DisturbedHosts


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# Bounds of the time for which a balancer is stopped or paused.
MIN_AWAY_S = 1.0
MAX_AWAY_S = 3.0
# Longest time between two changes of one series.
MAX_REST_S = 1.0


class FleetChanges:
    """
    Restarts balancers and agents in series, while balancers leave the rotation.

    No host counts as disturbed: an open flow may be reset at no time.
    """

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source
        self.hosts = DisturbedHosts(site=site, random_source=random_source)
        self.balancers = BalancerFaults(site=site, hosts=self.hosts)
        self.agents = AgentFaults(site=site, hosts=self.hosts)

    async def run(self) -> None:
        """Run all series until cancelled."""
        async with trio.open_nursery() as nursery:
            for change in (
                self.balancers.leave_rotation,
                self.balancers.restart_balancer,
                self.agents.restart_agent,
                self._start_balancer_late,
                self._pause_balancer,
            ):
                nursery.start_soon(self._repeat, change)

    async def _repeat(self, change: Callable[[], Awaitable[None]]) -> None:
        while True:
            await trio.sleep(self.random_source.uniform(0.0, MAX_REST_S))
            await change()

    async def _start_balancer_late(self) -> None:
        """Kill a balancer, and start it after seconds, in the middle of an outage."""
        host = self.hosts.reserve(self.site.balancer_hosts)
        if host is None:
            return
        self.site.stop_balancer(host, stays_in_rotation=True)
        await trio.sleep(self.random_source.uniform(MIN_AWAY_S, MAX_AWAY_S))
        self.site.start_balancer(host)
        self.hosts.release(host)

    async def _pause_balancer(self) -> None:
        """Pause a balancer, which then reads what came in the meantime."""
        host = self.hosts.reserve(self.site.balancer_hosts)
        if host is None:
            return
        pause_s = self.random_source.uniform(MIN_AWAY_S, MAX_AWAY_S)
        await self.site.balancer_processes.pause(host, pause_s)
        self.hosts.release(host)
