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


async def test_short_requests_overtake_long_ones_without_starving_them(
    autojump_clock: MockClock,
) -> None:
    policy = ShortestExpectedPolicy(stretch=4.0)
    caller = make_caller(slots=1, policy=policy)

    paths = ["/other", "/other", "/long", *["/short"] * 600]
    await caller.call_all(paths, gap_s=0.05, deadline_s=120.0)

    assert caller.started_paths[2] == "/short"
    assert 300 < caller.started_paths.index("/long") < 450


@pytest.mark.parametrize(
    ("policy", "is_short_blocked"),
    [
        (FifoPolicy(), True),
        (ReservedSlotsPolicy(), False),
        (ShortestExpectedPolicy(), False),
    ],
    ids=["fifo", "reserved", "shortest-expected"],
)
async def test_long_requests_block_short_ones_in_fifo_order_only(
    autojump_clock: MockClock, policy: QueuePolicy, is_short_blocked: bool
) -> None:
    caller = make_caller(slots=3, policy=policy)

    with trio.move_on_after(LONG_S / 2):
        await caller.call_all(["/long", "/long", "/long", "/short"])

    assert ("/short" in caller.started_paths) is not is_short_blocked
