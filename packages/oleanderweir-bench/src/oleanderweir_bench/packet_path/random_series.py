"""Runs random series of faults in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path.closing_caller import ClosingCaller
from oleanderweir_bench.packet_path.emulated_site import EmulatedSite
from oleanderweir_bench.packet_path.fault_record import STABLE_S
from oleanderweir_bench.packet_path.random_faults import RandomFaults
from oleanderweir_bench.packet_path.site_settings import ROUTE
from oleanderweir_bench.packet_path.state_changes import MOVING_ROUTE
from oleanderweir_bench.packet_path.state_changes import REMOVED_ROUTE


if TYPE_CHECKING:
    from collections.abc import Collection

    from oleanderweir_bench.packet_path.site_result import SiteResult


MAX_LAG_S = 0.3
# Time for the processes of a new site to find each other.
START_S = 1.5
# Time without faults at the end, in which no request may fail.
CALM_S = 4.0
# Callers with a short flow for each request, and with long flows.
SHORT_CALLERS = 12
LONG_CALLERS = 18


@attrs.frozen(kw_only=True)
class SeriesResult:
    """The results of a whole series, and of its calm end alone."""

    whole: SiteResult
    calm: SiteResult


def run_random_series(
    *,
    seed: int,
    faults_s: float = 12.0,
    names: Collection[str] = (),
    max_hedged_share: float = 0.0,
) -> SeriesResult:
    """
    Disturb a site at random; its size, hash mode and faults depend on the seed.

    ``names`` selects faults and changes by name; by default all are used. With
    ``max_hedged_share``, balancers hedge slow openings.
    """

    async def simulate() -> SeriesResult:
        random_source = random.Random(seed)
        async with trio.open_nursery() as nursery:
            backends = random_source.choice((4, 8, 14, 20, 32))
            site = EmulatedSite(
                nursery=nursery,
                seed=seed,
                balancers=random_source.choice((3, 5)),
                backends=backends,
                uses_rendezvous_hash=random_source.random() < 0.5,  # noqa: PLR2004
                runs_programs=True,
                max_hedged_share=max_hedged_share,
            )
            site.published.max_lag_s = random_source.uniform(0.0, MAX_LAG_S)
            faults = RandomFaults(
                site=site, random_source=random_source, max_backends=backends + 8
            )
            if names:
                faults.actions = {name: faults.actions[name] for name in names}
            await trio.sleep(START_S)
            _start_callers(site, until=trio.current_time() + 10 * faults_s)
            await faults.run(faults_s)
            await trio.sleep(STABLE_S)
            before = attrs.evolve(site.result)
            await trio.sleep(CALM_S)
            nursery.cancel_scope.cancel()
        return SeriesResult(whole=site.result, calm=site.result.since(before))

    return run_in_virtual_time(simulate, seed=seed)


def _start_callers(site: EmulatedSite, *, until: float) -> None:
    routes = (ROUTE, ROUTE, ROUTE, MOVING_ROUTE, ROUTE, REMOVED_ROUTE)
    for count, requests_per_flow, block in (
        (SHORT_CALLERS, 1, 0),
        (LONG_CALLERS, float("inf"), 1),
    ):
        site.start_callers(
            count,
            until=until,
            requests_per_flow=requests_per_flow,
            caller_type=ClosingCaller,
            routes=routes,
            block=block,
        )
