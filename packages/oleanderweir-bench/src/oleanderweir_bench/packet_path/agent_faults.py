"""Random faults and planned changes of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.disturbed_hosts import DisturbedHosts
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


class AgentFaults:
    """Kills, restarts and pauses agents; their backend servers keep running."""

    def __init__(self, *, site: EmulatedSite, hosts: DisturbedHosts) -> None:
        self.site = site
        self.hosts = hosts

    async def kill_agent(self) -> None:
        """Kill an agent, and start it with packets in its sockets."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.stop_agent(host)
            await self._start_agent(host)
        self.hosts.release(host)

    async def restart_agent(self) -> None:
        """Restart an agent as planned; its backend server keeps running."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is not None:
            await self._restart_agent(host)

    async def roll_agents(self) -> None:
        """Restart some agents as planned, one after the other."""
        for _ in range(self.hosts.random_source.randint(2, 5)):
            await self.restart_agent()

    async def pause_agent(self) -> None:
        """Pause an agent."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.pause_agent(host, self.hosts.draw(0.05, 2.0))
        self.hosts.release(host)

    async def _restart_agent(self, host: str) -> None:
        await self.site.agent_processes.drain(host)
        self.site.stop_agent(host)
        await self._start_agent(host)
        self.hosts.release(host)

    async def _start_agent(self, host: str) -> None:
        await trio.sleep(self.hosts.draw(0.0, 0.5))
        self.site.bind_agent(host)
        await trio.sleep(self.hosts.draw(0.1, 0.8))
        self.site.start_agent(host)
