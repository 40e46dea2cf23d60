"""Random series of overlapping faults and planned changes on an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import DesiredState
from oleanderweir_bench.packet_path.flow_scenarios import OPENING_DELAYS_S
from oleanderweir_bench.packet_path.link_faults import LinkFaults
from oleanderweir_bench.packet_path.routes import make_route
from oleanderweir_bench.packet_path.site_settings import ROUTE
from oleanderweir_bench.packet_path.site_settings import SERVICE


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.desired_state import BackendRecord
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


MEAN_INTERVAL_S = 0.4
OTHER_SERVICE = "archive"
# A route that moves between the services, and one that is removed and added.
MOVING_ROUTE = bytes([198, 18, 0, 2]) + (443).to_bytes(2, "big")
REMOVED_ROUTE = bytes([198, 18, 0, 3]) + (443).to_bytes(2, "big")
# Backend servers of the service that may be left by removals.
MIN_BACKENDS = 3


class RandomFaults:
    """
    Disturbs a site at random; each fault and change takes effect for some time.

    A process has at most one restart, pause or crash at a time; changes of links,
    routes, rotation and published state overlap these.
    """

    def __init__(
        self, *, site: EmulatedSite, random_source: random.Random, max_backends: int
    ) -> None:
        self.site = site
        self.random_source = random_source
        self.max_backends = max_backends
        self.busy_hosts: set[str] = set()
        self.started_ms = 1000
        self.host_number = 200
        # When each fault was started, in seconds of trio's clock, and its name.
        self.log: list[tuple[float, str]] = []
        self.actions: dict[str, Callable[[], Awaitable[None]]] = {
            "add_backend": self.add_backend,
            "crash_backend": self.crash_backend,
            "cut": self.cut,
            "delay_openings": self.delay_openings,
            "disturb_links": self.disturb_links,
            "drain_backend": self.drain_backend,
            "kill_agent": self.kill_agent,
            "kill_balancer": self.kill_balancer,
            "lag": self.lag,
            "lapse": self.lapse,
            "leave_rotation": self.leave_rotation,
            "move_route": self.move_route,
            "pause_agent": self.pause_agent,
            "pause_balancer": self.pause_balancer,
            "remove_route": self.remove_route,
            "replace_service": self.replace_service,
            "restart_agent": self.restart_agent,
            "restart_balancer": self.restart_balancer,
            "return_late": self.return_late,
            "roll_agents": self.roll_agents,
        }

    async def run(self, duration_s: float) -> None:
        """Start faults and changes for some time, and wait until all have ended."""
        self.publish_routes(moving_service=SERVICE, has_removed=True)
        names = sorted(self.actions)
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    rate = 1 / MEAN_INTERVAL_S
                    await trio.sleep(self.random_source.expovariate(rate))
                    name = self.random_source.choice(names)
                    self.log.append((trio.current_time(), name))
                    nursery.start_soon(self.actions[name])

    # Balancers

    async def kill_balancer(self) -> None:
        """Kill a balancer, and start it with packets in its sockets."""
        host = self._take(self.site.balancer_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.stop_balancer(host, stays_in_rotation=True)
            await self._start_balancer(host)
        self.busy_hosts.discard(host)

    async def restart_balancer(self) -> None:
        """Restart a balancer as planned."""
        host = self._take(self.site.balancer_hosts)
        if host is None:
            return
        self.site.readiness.stopping.add(host)
        await self.site.balancer_processes.drain(host)
        self.site.stop_balancer(host, stays_in_rotation=True)
        await self._start_balancer(host)
        self.site.readiness.stopping.discard(host)
        self.busy_hosts.discard(host)

    async def pause_balancer(self) -> None:
        """Pause a balancer."""
        host = self._take(self.site.balancer_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.balancer_processes.pause(host, self._draw(0.05, 2.0))
        self.busy_hosts.discard(host)

    async def leave_rotation(self) -> None:
        """Take a balancer out of rotation, and put it back."""
        host = self.random_source.choice(self.site.balancer_hosts)
        self.site.readiness.removed.add(host)
        await trio.sleep(self._draw(1.0, 3.0))
        self.site.readiness.removed.discard(host)

    async def _start_balancer(self, host: str) -> None:
        await trio.sleep(self._draw(0.0, 1.0))
        self.site.balancer_processes.bind(host)
        await trio.sleep(self._draw(0.1, 0.6))
        self.site.start_balancer(host)

    # Agents

    async def kill_agent(self) -> None:
        """Kill an agent, and start it with packets in its sockets."""
        host = self._take(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.stop_agent(host)
            await self._start_agent(host)
        self.busy_hosts.discard(host)

    async def restart_agent(self) -> None:
        """Restart an agent as planned; its backend server keeps running."""
        host = self._take(self.site.agent_hosts)
        if host is not None:
            await self._restart_agent(host)

    async def roll_agents(self) -> None:
        """Restart some agents as planned, one after the other."""
        for _ in range(self.random_source.randint(2, 5)):
            await self.restart_agent()

    async def pause_agent(self) -> None:
        """Pause an agent."""
        host = self._take(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.pause_agent(host, self._draw(0.05, 2.0))
        self.busy_hosts.discard(host)

    async def _restart_agent(self, host: str) -> None:
        await self.site.agent_processes.drain(host)
        self.site.stop_agent(host)
        await self._start_agent(host)
        self.busy_hosts.discard(host)

    async def _start_agent(self, host: str) -> None:
        await trio.sleep(self._draw(0.0, 0.5))
        self.site.bind_agent(host)
        await trio.sleep(self._draw(0.1, 0.8))
        self.site.start_agent(host)

    # Backend servers

    async def crash_backend(self) -> None:
        """Crash a backend server; it starts again under its name."""
        host = self._take(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            self.site.servers[host].stop()
            await trio.sleep(self._draw(0.0, 1.5))
            self.site.servers[host].start()
            record = self.site.published.records[host]
            started_ms = self._next_start()
            self._publish(attrs.evolve(record, started_at_ms=started_ms, sequence=1))
        self.busy_hosts.discard(host)

    async def lapse(self) -> None:
        """Let the entry of a running backend server lapse, and publish it again."""
        host = self._take(self.site.agent_hosts)
        if host is None:
            return
        record = self.site.published.records[host]
        record = attrs.evolve(record, sequence=record.sequence + 1)
        self.site.published.records[host] = record
        await self.site.lapse(host, self._draw(0.1, 1.9))
        self.busy_hosts.discard(host)

    async def return_late(self) -> None:
        """Let an entry lapse for longer than the store's entries are missing."""
        host = self._take(self.site.agent_hosts)
        if host is None:
            return
        with self.site.faults.fault(host):
            await self.site.lapse(host, self._draw(2.5, 6.0))
        self.busy_hosts.discard(host)

    async def delay_openings(self) -> None:
        """Make a backend server answer opening packets late at times."""
        server = self.site.servers[self.random_source.choice(self.site.agent_hosts)]
        server.opening_delays_s = OPENING_DELAYS_S
        await trio.sleep(self._draw(1.0, 5.0))
        server.opening_delays_s = (0.0,)

    async def add_backend(self) -> None:
        """Add a backend server on a new host."""
        if len(self.site.agent_hosts) >= self.max_backends:
            return
        self.host_number += 1
        self._add(f"10.0.2.{self.host_number}", SERVICE)

    async def drain_backend(self) -> None:
        """Drain a backend server, and remove it with its agent."""
        host = self._take_removable()
        if host is None:
            return
        await self._remove(host)
        self.busy_hosts.discard(host)

    async def replace_service(self) -> None:
        """Replace a backend server by one of another service at its address."""
        host = self._take_removable()
        if host is None:
            return
        await self._remove(host)
        await trio.sleep(self._draw(0.2, 3.0))
        others = [s.service for h, s in self.site.servers.items() if h != host]
        is_needed = OTHER_SERVICE not in others
        choices = [OTHER_SERVICE] if is_needed else [SERVICE, OTHER_SERVICE]
        self._add(host, self.random_source.choice(choices))
        self.busy_hosts.discard(host)

    async def _remove(self, host: str) -> None:
        record = self.site.published.records[host]
        self._publish(
            attrs.evolve(
                record, state=BackendState.DRAINING, sequence=record.sequence + 1
            )
        )
        self.site.servers[host].is_draining = True
        await trio.sleep(self._draw(1.0, 4.0))
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

    # Links, published state and routes

    async def cut(self) -> None:
        """Cut two hosts off from each other."""
        hosts = [*self.site.balancer_hosts, *self.site.agent_hosts]
        pair = self.random_source.sample(hosts, 2)
        with self.site.faults.fault(*pair):
            self.site.network.cuts.add(frozenset(pair))
            await trio.sleep(self._draw(0.1, 3.0))
            self.site.network.cuts.discard(frozenset(pair))

    async def disturb_links(self) -> None:
        """Lose, duplicate and reorder datagrams between all hosts."""
        faults = LinkFaults(
            loss_rate=self._draw(0.0, 0.02),
            duplicate_rate=self._draw(0.0, 0.05),
            late_rate=self._draw(0.0, 0.3),
            max_delay_s=self._draw(0.0, 0.15),
        )
        self.site.network.link_faults = faults
        await trio.sleep(self._draw(0.2, 3.0))
        if self.site.network.link_faults is faults:
            self.site.network.link_faults = None

    async def lag(self) -> None:
        """Let a process get changes of the published state late."""
        hosts = [*self.site.balancer_hosts, *self.site.agent_hosts]
        host = self.random_source.choice(hosts)
        self.site.published.extra_lag_s[host] = self._draw(0.2, 2.0)
        await trio.sleep(self._draw(1.0, 6.0))
        self.site.published.extra_lag_s.pop(host, None)

    async def move_route(self) -> None:
        """Move a route to another service, and back."""
        self.publish_routes(moving_service=OTHER_SERVICE, has_removed=True)
        await trio.sleep(self._draw(0.5, 4.0))
        self.publish_routes(moving_service=SERVICE, has_removed=True)

    async def remove_route(self) -> None:
        """Remove a route, and add it again."""
        self.publish_routes(moving_service=SERVICE, has_removed=False)
        await trio.sleep(self._draw(0.5, 4.0))
        self.publish_routes(moving_service=SERVICE, has_removed=True)

    def publish_routes(self, *, moving_service: str, has_removed: bool) -> None:
        """Publish the routes in a new version."""
        routes = {
            ROUTE: make_route(ROUTE, SERVICE),
            MOVING_ROUTE: make_route(MOVING_ROUTE, moving_service),
        }
        if has_removed:
            routes[REMOVED_ROUTE] = make_route(REMOVED_ROUTE, SERVICE)
        allowed = self.site.backends.allowed_services
        for address, route in routes.items():
            services = {share.service for share in route.shares}
            allowed.setdefault(address, set()).update(services)
        desired = self.site.published.desired
        self.site.published.write_desired(
            DesiredState(
                version=desired.version + 1,
                routes=routes,
                idle_timeout_s=desired.idle_timeout_s,
            )
        )

    # Choice of hosts

    def _draw(self, least: float, most: float) -> float:
        return self.random_source.uniform(least, most)

    def _take(self, hosts: list[str]) -> str | None:
        """Return a host without a fault and reserve it; ``None`` if there is none."""
        free = [host for host in hosts if host not in self.busy_hosts]
        if not free:
            return None
        host = self.random_source.choice(free)
        self.busy_hosts.add(host)
        return host

    def _take_removable(self) -> str | None:
        """Reserve a host whose backend server may be removed."""
        if len(self.busy_hosts & set(self.site.agent_hosts)) > 1:
            return None
        if len(self.site.agent_hosts) <= MIN_BACKENDS:
            return None
        return self._take(self.site.agent_hosts)
