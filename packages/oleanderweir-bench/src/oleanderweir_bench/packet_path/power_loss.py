"""A loss of all power at an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# Bounds of the time from the loss of power to the start of a balancer or an agent.
# Before its start, a process keeps what comes to its sockets for ``BOUND_S``.
MIN_START_S = 0.3
MAX_START_S = 1.0
BOUND_S = 0.1
# Longest time by which a backend server starts before or after its agent.
MAX_LEAD_S = 0.5
MAX_DELAY_S = 2.0
# An entry is removed this long after the last write of its backend server, which writes
# in this interval.
ENTRY_LEASE_S = 2.3
WRITE_INTERVAL_S = ENTRY_LEASE_S / 3
# Share of the backend servers that start under the name that they had.
SAME_NAME_SHARE = 0.1


class PowerLoss:
    """
    Stops all processes and backend servers at once, and starts them again.

    The entries of the old starts stay published until their lease ends. Each backend
    server publishes its new start at once.
    """

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source

    def stop_all(self) -> None:
        """Stop all balancers, agents and backend servers, with all their flows."""
        site = self.site
        for host in site.balancer_hosts:
            site.stop_balancer(host, stays_in_rotation=True)
        for host in site.agent_hosts:
            site.stop_agent(host)
            site.servers[host].stop()

    async def start_all(self) -> None:
        """Start everything again; return once all run and all leases have ended."""
        async with trio.open_nursery() as nursery:
            for host in self.site.balancer_hosts:
                nursery.start_soon(self._start_balancer, host)
            for host in self.site.agent_hosts:
                start_s = self.random_source.uniform(MIN_START_S, MAX_START_S)
                nursery.start_soon(self._start_agent, host, start_s)
                nursery.start_soon(self._start_backend, host, start_s)

    async def _start_balancer(self, host: str) -> None:
        start_s = self.random_source.uniform(MIN_START_S, MAX_START_S)
        await trio.sleep(start_s - BOUND_S)
        self.site.balancer_processes.bind(host)
        await trio.sleep(BOUND_S)
        self.site.start_balancer(host)

    async def _start_agent(self, host: str, start_s: float) -> None:
        await trio.sleep(start_s - BOUND_S)
        self.site.bind_agent(host)
        await trio.sleep(BOUND_S)
        self.site.start_agent(host)

    async def _start_backend(self, host: str, agent_start_s: float) -> None:
        """Let the old entry lapse, and start the backend server with a new one."""
        published = self.site.published
        record = published.records.pop(host)
        published.leftovers[record.identifier] = record
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_lease, record.identifier)
            start_s = agent_start_s + self.random_source.uniform(
                -MAX_LEAD_S, MAX_DELAY_S
            )
            await trio.sleep(max(0.0, start_s))
            self.site.servers[host].start()
            started_at_ms = record.started_at_ms + round(1000 * trio.current_time())
            name = record.identifier
            if self.random_source.random() >= SAME_NAME_SHARE:
                name = f"server-{host}-{started_at_ms}"
            published.records[host] = attrs.evolve(
                record, identifier=name, started_at_ms=started_at_ms, sequence=1
            )
            published.publish()

    async def _end_lease(self, name: str) -> None:
        age_s = self.random_source.uniform(0.0, WRITE_INTERVAL_S)
        await trio.sleep(ENTRY_LEASE_S - age_s)
        del self.site.published.leftovers[name]
        self.site.published.publish()
