"""Runs outages of the store in virtual time, while flows move between balancers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path.closing_caller import ClosingCaller
from oleanderweir_bench.packet_path.fleet_changes import FleetChanges
from oleanderweir_bench.packet_path.site_start import start_site
from oleanderweir_bench.packet_path.store_outage import StoreOutage


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.site_result import SiteResult


# Time for packets and lookups that are on their way at the end.
SETTLE_S = 2.0


def run_store_outage(
    *,
    seed: int,
    agents: int,
    balancers: int = 5,
    callers: int = 40,
    uses_rendezvous_hash: bool = True,
) -> SiteResult:
    """Let the store be away several times, in the middle of other changes."""

    async def simulate() -> SiteResult:
        async with trio.open_nursery() as nursery:
            site = await start_site(
                nursery=nursery,
                seed=seed,
                agents=agents,
                balancers=balancers,
                callers=callers,
                caller_type=ClosingCaller,
                uses_rendezvous_hash=uses_rendezvous_hash,
            )
            changes = FleetChanges(site=site, random_source=random.Random(seed))
            nursery.start_soon(changes.run)
            await StoreOutage(site=site, random_source=random.Random(seed)).run()
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
        return site.result

    return run_in_virtual_time(simulate, seed=seed)
