from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import ShortestExpectedPolicy
from oleanderweir_bench.experiments.baselines import ReservedSlotsPolicy
from tests.oleanderweir_agent.queueing.queue_caller import LONG_S
from tests.oleanderweir_agent.queueing.queue_caller import make_caller


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir_agent.queueing import QueuePolicy


async def test_shortest_expected_lets_short_work_pass_but_starves_none(
    autojump_clock: MockClock,
) -> None:
    policy = ShortestExpectedPolicy(stretch=4.0)
    caller = make_caller(slots=1, policy=policy)

    paths = ["/other", "/other", "/long", *["/short"] * 600]
    await caller.call_all(paths, gap_s=0.05, deadline_s=120.0)

    assert caller.order[2] == "/short"
    assert 300 < caller.order.index("/long") < 450


@pytest.mark.parametrize(
    ("policy", "is_short_blocked"),
    [
        (FifoPolicy(), True),
        (ReservedSlotsPolicy(), False),
        (ShortestExpectedPolicy(), False),
    ],
    ids=["fifo", "reserved", "shortest-expected"],
)
async def test_long_work_leaves_a_slot_for_short_work(
    autojump_clock: MockClock, policy: QueuePolicy, is_short_blocked: bool
) -> None:
    caller = make_caller(slots=3, policy=policy)

    with trio.move_on_after(LONG_S / 2):
        await caller.call_all(["/long", "/long", "/long", "/short"])

    assert ("/short" in caller.order) is not is_short_blocked
