from __future__ import annotations

import pytest

from oleanderweir_bench.packet_path import SiteResult
from oleanderweir_bench.packet_path import run_store_outage


# Agents, seed, and whether the routers use the rendezvous hash.
SITES = {
    "8-agents-rendezvous": (8, 1, True),
    "8-agents-mod": (8, 3, False),
    "40-agents-rendezvous": (40, 1, True),
    "40-agents-mod": (40, 2, False),
}


@pytest.fixture(scope="module", params=SITES)
def result(request: pytest.FixtureRequest) -> SiteResult:
    agents, seed, uses_rendezvous_hash = SITES[request.param]
    return run_store_outage(
        seed=seed, agents=agents, uses_rendezvous_hash=uses_rendezvous_hash
    )


def test_lapsed_entries_of_sound_backends_reset_no_open_flow(
    result: SiteResult,
) -> None:
    assert result.served > 500
    assert result.false_resets == 0


def test_lapsed_entries_of_sound_backends_lead_no_packets_astray(
    result: SiteResult,
) -> None:
    assert result.stray_flows == 0


def test_lapsed_entries_of_sound_backends_break_no_other_guarantee(
    result: SiteResult,
) -> None:
    others = result.violations - result.false_resets - result.stray_flows
    assert others == 0
