from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path import FLOW_SCENARIOS
from oleanderweir_bench.packet_path import run_scenario
from oleanderweir_bench.packet_path.emulated_caller import EmulatedCaller
from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


if TYPE_CHECKING:
    from oleanderweir_bench.packet_path.site_result import SiteResult


BACKENDS = 12
CALLERS = 60
TRAFFIC_S = 12.0
# Shorter than the silence after which balancers avoid an agent.
PAUSE_S = 0.7
# Slower than an undisturbed opening, faster than the caller's own copy.
SLOW_OPENING_S = 0.18


class TimedCaller(EmulatedCaller):
    """Records how long its flows take to open."""

    opening_times_s: list[float]

    async def _open(self) -> bool:
        started_at = trio.current_time()
        is_open = await super()._open()
        self.opening_times_s.append(trio.current_time() - started_at)
        return is_open


async def pause_agents(site: EmulatedSite) -> None:
    """Pause one agent after the other, for a moment each."""
    while True:
        for host in site.agent_hosts:
            await site.pause_agent(host, PAUSE_S)
            await trio.sleep(0.1)


def run_with_pauses(max_hedged_share: float) -> tuple[SiteResult, list[float]]:
    """Return the results of a site with pausing agents, and its opening times."""
    times_s: list[float] = []

    class Caller(TimedCaller):
        opening_times_s = times_s

    async def simulate() -> SiteResult:
        async with trio.open_nursery() as nursery:
            site = EmulatedSite(
                nursery=nursery,
                seed=11,
                backends=BACKENDS,
                max_hedged_share=max_hedged_share,
            )
            site.start_callers(
                CALLERS,
                until=trio.current_time() + TRAFFIC_S,
                requests_per_flow=1,
                caller_type=Caller,
            )
            nursery.start_soon(pause_agents, site)
            await trio.sleep(TRAFFIC_S + 3.0)
            nursery.cancel_scope.cancel()
        return site.result

    return run_in_virtual_time(simulate, seed=11), times_s


def count_slow(times_s: list[float]) -> int:
    return sum(time_s > SLOW_OPENING_S for time_s in times_s)


def test_hedges_replace_most_waits_for_the_copies_of_callers() -> None:
    result, times_s = run_with_pauses(0.0)
    hedged_result, hedged_times_s = run_with_pauses(0.125)

    assert count_slow(times_s) > 20
    assert count_slow(hedged_times_s) < count_slow(times_s) / 2
    assert hedged_result.late < result.late
    assert hedged_result.violations == result.violations == 0


@pytest.mark.parametrize("name", sorted(FLOW_SCENARIOS))
@pytest.mark.parametrize(
    "uses_rendezvous_hash", [True, False], ids=["rendezvous", "mod"]
)
def test_flows_are_kept_while_every_slow_opening_is_hedged(
    name: str, uses_rendezvous_hash: bool
) -> None:
    result = run_scenario(
        name,
        seed=7,
        uses_rendezvous_hash=uses_rendezvous_hash,
        callers=15,
        backends=6,
        requests_per_flow=2,
        max_hedged_share=1.0,
    )

    assert result.total > 100
    assert result.violations == 0
