"""Random faults and planned changes of balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.disturbed_hosts import DisturbedHosts
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


class BalancerFaults:
    """Kills, restarts and pauses balancers, and takes them out of rotation."""

    def __init__(self, *, site: EmulatedSite, hosts: DisturbedHosts) -> None:
        self.site = site
        self.hosts = hosts

    async def kill_balancer(self) -> None:
        """Kill a balancer, and start it with packets in its sockets."""
        host = self.hosts.reserve(self.site.balancer_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.stop_balancer(host, stays_in_rotation=True)
            await self._start_balancer(host)
        self.hosts.release(host)

    async def restart_balancer(self) -> None:
        """Restart a balancer as planned."""
        host = self.hosts.reserve(self.site.balancer_hosts)
        if host is None:
            return
        self.site.readiness.stopping.add(host)
        await self.site.balancer_processes.drain(host)
        self.site.stop_balancer(host, stays_in_rotation=True)
        await self._start_balancer(host)
        self.site.readiness.stopping.discard(host)
        self.hosts.release(host)

    async def pause_balancer(self) -> None:
        """Pause a balancer."""
        host = self.hosts.reserve(self.site.balancer_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.balancer_processes.pause(host, self.hosts.draw(0.05, 2.0))
        self.hosts.release(host)

    async def leave_rotation(self) -> None:
        """Take a balancer out of rotation, and put it back."""
        host = self.hosts.random_source.choice(self.site.balancer_hosts)
        self.site.readiness.removed.add(host)
        await trio.sleep(self.hosts.draw(1.0, 3.0))
        self.site.readiness.removed.discard(host)

    async def _start_balancer(self, host: str) -> None:
        await trio.sleep(self.hosts.draw(0.0, 1.0))
        self.site.balancer_processes.bind(host)
        await trio.sleep(self.hosts.draw(0.1, 0.6))
        self.site.start_balancer(host)
