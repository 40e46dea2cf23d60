"""Scenarios in which several backend servers answer the opening packet of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# Delays of answers to opening packets; agents return an opening packet after 60 ms.
OPENING_DELAYS_S = (0.0, 0.001, 0.004, 0.02, 0.065, 0.1, 0.12, 0.21, 0.22)
LATE_SHARE = 0.5
LOSS_RATE = 0.01
# Time until a change of the published state has reached every process.
MAX_LAG_S = 0.3
DURATION_S = 10.0


async def answer_openings_late(site: EmulatedSite) -> None:
    """Move flows between balancers while backend servers answer openings late."""
    _delay_openings(site)
    await _roll_balancers(site)


async def restart_agents(site: EmulatedSite) -> None:
    """Kill agents, which start with packets in their sockets, and move flows."""
    _delay_openings(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_roll_balancers, site)
        nursery.start_soon(_restart_agents, site)


async def pause_agents(site: EmulatedSite) -> None:
    """Pause agents for a moment, and move flows."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_roll_balancers, site)
        nursery.start_soon(_pause_agents, site)


async def lapse_entries(site: EmulatedSite) -> None:
    """Let entries of backend servers lapse, and restart balancers in turn."""
    site.published.max_lag_s = MAX_LAG_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_roll_balancers, site)
        nursery.start_soon(_lapse_entries, site)


async def replace_backends(site: EmulatedSite) -> None:
    """Replace backend servers by others, and restart balancers in turn."""
    site.published.max_lag_s = MAX_LAG_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_roll_balancers, site)
        nursery.start_soon(_replace_backends, site)


async def lose_datagrams(site: EmulatedSite) -> None:
    """Combine all of these with lost datagrams."""
    _delay_openings(site)
    site.network.loss_rate = LOSS_RATE
    site.published.max_lag_s = MAX_LAG_S
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_roll_balancers, site)
        nursery.start_soon(_restart_agents, site)
        nursery.start_soon(_replace_backends, site)


def _delay_openings(site: EmulatedSite) -> None:
    """Make half of the backend servers answer opening packets late at times."""
    for server in site.servers.values():
        if site.random_source.random() < LATE_SHARE:
            server.opening_delays_s = OPENING_DELAYS_S


async def _roll_balancers(site: EmulatedSite) -> None:
    """Stop each balancer as planned, or kill it, and start it again."""
    ends_at = trio.current_time() + DURATION_S
    while trio.current_time() < ends_at:
        for host in list(site.balancer_hosts):
            is_planned = site.random_source.random() < 0.5  # noqa: PLR2004
            if is_planned:
                site.router.hosts.remove(host)
                await trio.sleep(site.random_source.uniform(0.1, 0.5))
            site.stop_balancer(host, stays_in_rotation=not is_planned)
            await trio.sleep(site.random_source.uniform(0.1, 0.5))
            site.start_balancer(host)
            await trio.sleep(site.random_source.uniform(0.0, 0.5))


async def _restart_agents(site: EmulatedSite) -> None:
    ends_at = trio.current_time() + DURATION_S
    while trio.current_time() < ends_at:
        host = site.random_source.choice(site.agent_hosts)
        site.stop_agent(host)
        await trio.sleep(site.random_source.uniform(0.0, 0.3))
        site.bind_agent(host)
        await trio.sleep(site.random_source.uniform(0.1, 0.8))
        if host in site.agent_hosts:
            site.start_agent(host)
        await trio.sleep(site.random_source.uniform(0.0, 0.4))


async def _pause_agents(site: EmulatedSite) -> None:
    ends_at = trio.current_time() + DURATION_S
    while trio.current_time() < ends_at:
        host = site.random_source.choice(site.agent_hosts)
        await site.pause_agent(host, site.random_source.uniform(0.05, 0.4))
        await trio.sleep(site.random_source.uniform(0.0, 0.2))


async def _lapse_entries(site: EmulatedSite) -> None:
    ends_at = trio.current_time() + DURATION_S
    while trio.current_time() < ends_at:
        host = site.random_source.choice(site.agent_hosts)
        await site.lapse(host, site.random_source.uniform(0.5, 2.0))
        await trio.sleep(0.5)


async def _replace_backends(site: EmulatedSite) -> None:
    """Add a backend server, then drain and remove one without open flows."""
    ends_at = trio.current_time() + DURATION_S
    number = 100
    while trio.current_time() < ends_at:
        number += 1
        site.add_backend(f"10.0.2.{number}")
        await trio.sleep(site.random_source.uniform(0.3, 1.0))
        host = site.agent_hosts[0]
        site.drain(host)
        await trio.sleep(site.random_source.uniform(0.5, 1.0))
        if host in site.agents:
            site.remove_backend(host)
