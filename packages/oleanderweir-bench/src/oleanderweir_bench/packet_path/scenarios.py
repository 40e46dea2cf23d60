"""Scenarios of faults and planned changes on an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path.emulated_site import EmulatedSite
from oleanderweir_bench.packet_path.flow_scenarios import answer_openings_late
from oleanderweir_bench.packet_path.flow_scenarios import lapse_entries
from oleanderweir_bench.packet_path.flow_scenarios import lose_datagrams
from oleanderweir_bench.packet_path.flow_scenarios import pause_agents
from oleanderweir_bench.packet_path.flow_scenarios import replace_backends
from oleanderweir_bench.packet_path.flow_scenarios import restart_agents


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.packet_path.site_result import SiteResult


CALLERS = 60
TRAFFIC_S = 12.0
# Time for requests in flight at the end to complete.
SETTLE_S = 3.0


async def run_undisturbed(site: EmulatedSite) -> None:
    """Run without faults or changes."""
    del site


async def move_flows(site: EmulatedSite) -> None:
    """Remove balancers from rotation and add them again, one after the other."""
    for host in list(site.balancer_hosts):
        await trio.sleep(1.0)
        site.router.hosts.remove(host)
        await trio.sleep(1.0)
        site.router.hosts.append(host)


async def kill_balancers(site: EmulatedSite) -> None:
    """Kill and restart each balancer in turn; routers react after a second."""
    for host in list(site.balancer_hosts):
        site.stop_balancer(host, stays_in_rotation=True)
        await trio.sleep(1.0)
        site.router.hosts.remove(host)
        await trio.sleep(1.0)
        site.start_balancer(host)


async def kill_everything(site: EmulatedSite) -> None:
    """Kill and restart all processes; the backend servers keep their flows."""
    await trio.sleep(3.0)
    for host in site.balancer_hosts:
        site.stop_balancer(host, stays_in_rotation=True)
    for host in site.agent_hosts:
        site.stop_agent(host)
    await trio.sleep(1.5)
    for host in site.agent_hosts:
        site.start_agent(host)
    await trio.sleep(0.5)
    for host in site.balancer_hosts:
        site.start_balancer(host)


async def crash_backends(site: EmulatedSite) -> None:
    """Crash one backend server for good, then crash and restart another one."""
    await trio.sleep(3.0)
    first, second, *_ = site.agent_hosts
    site.servers[first].stop()
    await trio.sleep(2.0)
    site.servers[second].stop()
    site.servers[second].start()


async def drain_backends(site: EmulatedSite) -> None:
    """Drain two backend servers."""
    for host in site.agent_hosts[:2]:
        await trio.sleep(2.0)
        site.drain(host)


SCENARIOS: dict[str, Callable[[EmulatedSite], Awaitable[None]]] = {
    "calm": run_undisturbed,
    "crash-backends": crash_backends,
    "drain": drain_backends,
    "kill-balancers": kill_balancers,
    "kill-everything": kill_everything,
    "move-flows": move_flows,
}

# Scenarios of flows that several backend servers have half open; callers open a flow
# for each few requests.
FLOW_SCENARIOS: dict[str, Callable[[EmulatedSite], Awaitable[None]]] = {
    "lapse-entries": lapse_entries,
    "late-openings": answer_openings_late,
    "lost-datagrams": lose_datagrams,
    "pause-agents": pause_agents,
    "replace-backends": replace_backends,
    "restart-agents": restart_agents,
}


def run_scenario(
    name: str,
    *,
    seed: int,
    uses_rendezvous_hash: bool = True,
    callers: int = CALLERS,
    backends: int = 4,
    requests_per_flow: float = float("inf"),
    max_hedged_share: float = 0.0,
) -> SiteResult:
    """Run a scenario in virtual time; return the results that callers observed."""

    async def simulate() -> SiteResult:
        async with trio.open_nursery() as nursery:
            site = EmulatedSite(
                nursery=nursery,
                seed=seed,
                uses_rendezvous_hash=uses_rendezvous_hash,
                backends=backends,
                max_hedged_share=max_hedged_share,
            )
            site.start_callers(
                callers,
                until=trio.current_time() + TRAFFIC_S,
                requests_per_flow=requests_per_flow,
            )
            nursery.start_soon({**SCENARIOS, **FLOW_SCENARIOS}[name], site)
            await trio.sleep(TRAFFIC_S + SETTLE_S)
            nursery.cancel_scope.cancel()
        return site.result

    return run_in_virtual_time(simulate, seed=seed)
