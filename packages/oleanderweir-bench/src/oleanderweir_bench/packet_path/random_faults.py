"""Random series of overlapping faults and planned changes on an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.packet_path.agent_faults import AgentFaults
from oleanderweir_bench.packet_path.backend_faults import BackendFaults
from oleanderweir_bench.packet_path.balancer_faults import BalancerFaults
from oleanderweir_bench.packet_path.disturbed_hosts import DisturbedHosts
from oleanderweir_bench.packet_path.network_faults import NetworkFaults
from oleanderweir_bench.packet_path.site_settings import SERVICE
from oleanderweir_bench.packet_path.state_changes import StateChanges


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


MEAN_INTERVAL_S = 0.4


class RandomFaults:
    """
    Disturbs a site at random; each fault and change takes effect for some time.

    No host has two of them at once, except that a balancer may leave the rotation and
    a backend server may answer late at any time, and that ``NetworkFaults`` and
    ``StateChanges`` overlap all.
    """

    def __init__(
        self, *, site: EmulatedSite, random_source: random.Random, max_backends: int
    ) -> None:
        self.random_source = random_source
        # Names of the faults, by the time of their start.
        self.log: list[tuple[float, str]] = []
        hosts = DisturbedHosts(site=site, random_source=random_source)
        balancers = BalancerFaults(site=site, hosts=hosts)
        agents = AgentFaults(site=site, hosts=hosts)
        backends = BackendFaults(site=site, hosts=hosts, max_backends=max_backends)
        network = NetworkFaults(site=site, random_source=random_source)
        self.state_changes = StateChanges(site=site, random_source=random_source)
        self.actions: dict[str, Callable[[], Awaitable[None]]] = {
            "add_backend": backends.add_backend,
            "crash_backend": backends.crash_backend,
            "cut": network.cut,
            "delay_openings": backends.delay_openings,
            "disturb_links": network.disturb_links,
            "drain_backend": backends.drain_backend,
            "kill_agent": agents.kill_agent,
            "kill_balancer": balancers.kill_balancer,
            "lag": self.state_changes.lag,
            "lapse": backends.lapse,
            "leave_rotation": balancers.leave_rotation,
            "move_route": self.state_changes.move_route,
            "pause_agent": agents.pause_agent,
            "pause_balancer": balancers.pause_balancer,
            "remove_route": self.state_changes.remove_route,
            "replace_service": backends.replace_service,
            "restart_agent": agents.restart_agent,
            "restart_balancer": balancers.restart_balancer,
            "return_late": backends.return_late,
            "roll_agents": agents.roll_agents,
        }

    async def run(self, duration_s: float) -> None:
        """Start faults and changes for some time, and wait until all have ended."""
        self.state_changes.publish_routes(moving_service=SERVICE, has_removed=True)
        names = sorted(self.actions)
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    rate = 1 / MEAN_INTERVAL_S
                    await trio.sleep(self.random_source.expovariate(rate))
                    name = self.random_source.choice(names)
                    self.log.append((trio.current_time(), name))
                    nursery.start_soon(self.actions[name])
