from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.site_settings import OTHER_SERVICE
from oleanderweir_bench.packet_path.site_start import start_site


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite
    from oleanderweir_bench.packet_path.site_result import SiteResult


# After this time, the address of a lost backend server may be used again.
REUSE_AFTER_S = 2.0
# How long the entry of a lost backend server stays published.
LEASE_S = 3.6
ROUNDS = 3


async def replace(site: EmulatedSite, host: str, *, lag_s: float) -> None:
    """Lose a host, and start a backend server of another service at its address."""
    record = site.published.records.pop(host)
    site.published.leftovers[record.identifier] = record
    site.servers[host].stop()
    site.stop_agent(host)
    site.agent_hosts.remove(host)
    site.published.publish()
    await trio.sleep(REUSE_AFTER_S)
    site.published.extra_lag_s[host] = lag_s
    site.add_backend(host, service=OTHER_SERVICE, started_at_ms=2000)
    await trio.sleep(LEASE_S - REUSE_AFTER_S)
    del site.published.leftovers[record.identifier]
    site.published.publish()


async def change_versions(site: EmulatedSite) -> None:
    """Write versions in quick succession, which reach the agents late."""
    while True:
        await trio.sleep(0.15)
        version = site.published.desired.version + 1
        site.published.write_desired(
            attrs.evolve(site.published.desired, version=version)
        )


def run_reuse(*, seed: int, lag_s: float) -> SiteResult:
    async def simulate() -> SiteResult:
        async with trio.open_nursery() as nursery:
            site = await start_site(
                nursery=nursery,
                seed=seed,
                agents=8,
                balancers=3,
                callers=0,
                caller_type=EmulatedCaller,
            )
            # A flow for each request.
            site.start_callers(30, until=float("inf"), requests_per_flow=1)
            nursery.start_soon(change_versions, site)
            for host in site.agent_hosts[:ROUNDS]:
                await replace(site, host, lag_s=lag_s)
            nursery.cancel_scope.cancel()
        return site.result

    return run_in_virtual_time(simulate, seed=seed)


# Guards against trust in the choice of a balancer by an entry of a lost backend server.
@pytest.mark.parametrize("lag_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_reused_address_gets_no_requests_of_the_lost_backend_server(
    seed: int, lag_s: float
) -> None:
    result = run_reuse(seed=seed, lag_s=lag_s)

    assert result.served > 300
    assert result.foreign_runs == 0
    assert result.violations == 0
