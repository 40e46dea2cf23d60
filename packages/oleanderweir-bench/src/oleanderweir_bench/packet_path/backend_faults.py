"""Random faults and planned changes of backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import BackendState
from oleanderweir_bench.packet_path.flow_scenarios import OPENING_DELAYS_S
from oleanderweir_bench.packet_path.site_settings import OTHER_SERVICE
from oleanderweir_bench.packet_path.site_settings import SERVICE


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir_bench.packet_path.disturbed_hosts import DisturbedHosts
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


class BackendFaults:
    """Crashes, adds and removes backend servers, and lets their entries lapse."""

    def __init__(
        self, *, site: EmulatedSite, hosts: DisturbedHosts, max_backends: int
    ) -> None:
        self.site = site
        self.hosts = hosts
        self.max_backends = max_backends
        self.started_ms = 1000
        self.host_number = 200

    async def crash_backend(self) -> None:
        """Crash a backend server; it starts again under its name."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.servers[host].stop()
            await trio.sleep(self.hosts.draw(0.0, 1.5))
            self.site.servers[host].start()
            record = self.site.published.records[host]
            started_ms = self._next_start()
            self._publish(attrs.evolve(record, started_at_ms=started_ms, sequence=1))
        self.hosts.release(host)

    async def lapse(self) -> None:
        """Let the entry of a running backend server lapse, and publish it again."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is None:
            return
        record = self.site.published.records[host]
        # Entries are back two seconds after the store; until then they are missing.
        record = attrs.evolve(record, sequence=record.sequence + 1)
        self.site.published.records[host] = record
        await self.site.lapse(host, self.hosts.draw(0.1, 1.9))
        self.hosts.release(host)

    async def return_late(self) -> None:
        """Let an entry lapse for longer than the store's entries are missing."""
        host = self.hosts.reserve(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.lapse(host, self.hosts.draw(2.5, 6.0))
        self.hosts.release(host)

    async def delay_openings(self) -> None:
        """Make a backend server answer opening packets late at times."""
        host = self.hosts.random_source.choice(self.site.agent_hosts)
        server = self.site.servers[host]
        server.opening_delays_s = OPENING_DELAYS_S
        await trio.sleep(self.hosts.draw(1.0, 5.0))
        server.opening_delays_s = (0.0,)

    async def add_backend(self) -> None:
        """Add a backend server on a new host."""
        if len(self.site.agent_hosts) >= self.max_backends:
            return
        self.host_number += 1
        self._add(f"10.0.2.{self.host_number}", SERVICE)

    async def drain_backend(self) -> None:
        """Drain a backend server, and remove it with its agent."""
        host = self.hosts.reserve_removable()
        if host is None:
            return
        await self._remove(host)
        self.hosts.release(host)

    async def replace_service(self) -> None:
        """Replace a backend server by one of another service at its address."""
        host = self.hosts.reserve_removable()
        if host is None:
            return
        await self._remove(host)
        await trio.sleep(self.hosts.draw(0.2, 3.0))
        others = [s.service for h, s in self.site.servers.items() if h != host]
        is_needed = OTHER_SERVICE not in others
        choices = [OTHER_SERVICE] if is_needed else [SERVICE, OTHER_SERVICE]
        self._add(host, self.hosts.random_source.choice(choices))
        self.hosts.release(host)

    async def _remove(self, host: str) -> None:
        record = self.site.published.records[host]
        self._publish(
            attrs.evolve(
                record, state=BackendState.DRAINING, sequence=record.sequence + 1
            )
        )
        self.site.servers[host].is_draining = True
        await trio.sleep(self.hosts.draw(1.0, 4.0))
        self.site.servers[host].stop()
        await self.site.agent_processes.drain(host)
        self.site.stop_agent(host)
        self.site.agent_hosts.remove(host)
        self.site.published.records.pop(host)
        self.site.published.publish()

    def _add(self, host: str, service: str) -> None:
        started = self._next_start()
        self.site.add_backend(host, service=service, started_at_ms=started)

    def _publish(self, record: BackendRecord) -> None:
        """Publish a changed record of a backend server."""
        self.site.published.records[record.host] = record
        self.site.published.publish()

    def _next_start(self) -> int:
        self.started_ms += 1000
        return self.started_ms
