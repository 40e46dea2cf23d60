from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.desired_state import ColdStartLimit
from oleanderweir.flows import FlowKey
from oleanderweir_agent.forwarding import ColdStartTolerance
from oleanderweir_bench.processes.output_line import OutputLine
from oleanderweir_bench.soak import SoakExtras
from oleanderweir_bench.soak.extra_checks import SAVED_HEDGES
from oleanderweir_bench.soak.extra_checks import ColdStartCheck
from oleanderweir_bench.soak.extra_checks import HedgeCheck
from oleanderweir_bench.soak.extra_checks import count_refusals
from oleanderweir_bench.soak.soak_site import EVACUATION_PROPAGATION_S
from oleanderweir_bench.soak.soak_site import FAULT_FREE_S
from tests.oleanderweir_bench.soak.test_overlapping_faults import check_opening
from tests.oleanderweir_bench.soak.unstarted_site import add_backend
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path


DURATION_S = 3.0
EXTRAS = SoakExtras(
    cold_start_limit=ColdStartLimit(rate_per_s=2.0, duration_s=DURATION_S),
    cold_start_tolerance=ColdStartTolerance(overage=1.5, slack=1.0),
)
MAX_OPENINGS = 4
HOST = "127.16.2.1"


async def test_openings_in_an_evacuated_zone_count_until_it_is_taken_back(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site:
        backend = add_backend(site)
        await trio.sleep(FAULT_FREE_S)
        site.order_evacuation("a")
        await trio.sleep(EVACUATION_PROPAGATION_S - 0.1)
        check_opening(site, backend)
        assert site.result.late_openings == 0

        await trio.sleep(0.2)
        check_opening(site, backend)
        assert site.result.late_openings == 1

        site.withdraw_evacuation("a")
        check_opening(site, backend)
        assert site.result.late_openings == 1


async def test_a_cold_start_is_exceeded_by_one_flow_more_in_a_second(
    autojump_clock: trio.testing.MockClock,
) -> None:
    check = ColdStartCheck(extras=EXTRAS)
    check.begin(HOST)

    assert [check.is_exceeded(HOST) for _ in range(MAX_OPENINGS)] == [False] * 4
    await trio.sleep(0.9)
    assert check.is_exceeded(HOST)
    await trio.sleep(0.2)
    assert not check.is_exceeded(HOST)
    await trio.sleep(DURATION_S)
    assert not any(check.is_exceeded(HOST) for _ in range(MAX_OPENINGS + 1))


def test_hedges_beyond_their_share_and_those_saved_up_are_counted() -> None:
    check = HedgeCheck(max_share=0.1, balancers=1)
    check.add(FlowKey(b"earlier"), "b1")
    check.start()
    for number in range(100):
        check.add(FlowKey(bytes([number])), "b1")
    for number in range(10 + SAVED_HEDGES + 2):
        check.add(FlowKey(bytes([number])), "b2")

    assert check.count_excess() == 2


def test_refusals_are_counted_from_the_logs_of_balancers() -> None:
    lines = [
        '{"code": "packet_returned", "reason": "EVACUATED"}',
        '{"code": "flow_reset", "reason": "zones_evacuated"}',
        '{"code": "packet_returned", "reason": "FULL"}',
        "no JSON",
    ]

    assert count_refusals(OutputLine.parse(line) for line in lines) == 2


async def test_a_lost_order_is_written_again_and_a_lost_withdrawal_repeated(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site:
        contents = site.store.contents
        before_order = contents.revision
        site.order_evacuation("a")
        ordered = contents.revision
        site.store.restore(revision=before_order, random_source=site.random_source)
        assert "op/evacuate/a" not in contents.entries
        await trio.sleep(2.5)
        assert "op/evacuate/a" in contents.entries

        site.withdraw_evacuation("a")
        site.store.restore(revision=ordered, random_source=site.random_source)
        assert "op/evacuate/a" in contents.entries
        await trio.sleep(2.5)
        assert "op/evacuate/a" not in contents.entries
