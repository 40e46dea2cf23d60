from __future__ import annotations

import pytest

from oleanderweir.peering.report_interval import keepalive_s
from oleanderweir.peering.report_interval import report_interval_s
from oleanderweir.peering.report_interval import silence_s


@pytest.mark.parametrize("fleet_size", [1, 10, 53, 300, 1000])
def test_a_balancer_receives_a_bounded_number_of_reports(fleet_size: int) -> None:
    assert fleet_size / report_interval_s(fleet_size) <= 200.0


@pytest.mark.parametrize("fleet_size", [1, 10, 53, 300, 1000])
def test_an_agent_does_not_count_as_silent_after_two_lost_reports(
    fleet_size: int,
) -> None:
    assert silence_s(fleet_size) >= 3 * keepalive_s(fleet_size)
