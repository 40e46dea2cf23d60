"""Starts an emulated site whose callers have open flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller


MAX_LAG_S = 0.3
# Time for the processes of a new site to find each other, and for callers to open
# their flows.
START_S = 1.5
OPENING_S = 3.0


async def start_site(
    *,
    nursery: trio.Nursery,
    seed: int,
    agents: int,
    balancers: int,
    callers: int,
    caller_type: type[EmulatedCaller],
    uses_rendezvous_hash: bool = True,
) -> EmulatedSite:
    """Return a site of whole programs, after time for its callers to open flows."""
    site = EmulatedSite(
        nursery=nursery,
        seed=seed,
        balancers=balancers,
        backends=agents,
        uses_rendezvous_hash=uses_rendezvous_hash,
        runs_programs=True,
    )
    site.published.max_lag_s = MAX_LAG_S
    await trio.sleep(START_S)
    site.start_callers(callers, until=float("inf"), caller_type=caller_type)
    await trio.sleep(OPENING_S)
    return site
