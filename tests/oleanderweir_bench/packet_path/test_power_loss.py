from __future__ import annotations

import pytest

from oleanderweir_bench.packet_path import PowerLossResult
from oleanderweir_bench.packet_path import run_power_loss


CALLERS = 100
# Each agent may be asked about twice for a lost flow: by the balancer's own lookup or
# that of its delegate, and once more if it could not tell yet.
MAX_QUERIES_PER_AGENT = 2.5
# The timeout of lookups. Callers of the sites wait for 1.5 to 5 s.
MAX_WAIT_S = 3.0


@pytest.fixture(scope="module", params=[1, 3])
def result(request: pytest.FixtureRequest) -> PowerLossResult:
    return run_power_loss(seed=request.param, agents=40, balancers=5, callers=CALLERS)


def test_each_agent_is_asked_about_twice_for_a_lost_flow(
    result: PowerLossResult,
) -> None:
    assert len(result.looked_up) == CALLERS
    assert result.queries_per_flow <= MAX_QUERIES_PER_AGENT * result.agents


def test_lost_flows_are_reset_while_their_callers_wait(
    result: PowerLossResult,
) -> None:
    assert len(result.looked_up) == CALLERS
    assert result.longest_wait_s <= MAX_WAIT_S


def test_a_loss_of_power_resets_no_new_flow(result: PowerLossResult) -> None:
    assert result.site.served > CALLERS
    assert result.site.violations == 0
