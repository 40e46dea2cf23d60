from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_bench.churn import FeedSession


if TYPE_CHECKING:
    from trio.testing import MockClock


@pytest.mark.parametrize(
    ("ticks", "missing", "doubled"),
    [([1, 2, 3], 0, 0), ([1, 4, 5], 2, 0), ([1, 2, 2, 1, 3], 0, 2), ([2], 1, 0)],
    ids=["complete", "gap", "repeats", "late-start"],
)
async def test_missing_and_doubled_ticks_are_counted(
    ticks: list[int], missing: int, doubled: int
) -> None:
    session = FeedSession(number=0)

    for tick in ticks:
        session.record_line(f"tick {tick}")

    assert (session.missing, session.doubled) == (missing, doubled)
    assert not session.is_broken


async def test_the_longest_gap_and_a_stall_are_detected(
    autojump_clock: MockClock,
) -> None:
    session = FeedSession(number=0)
    for tick, pause_s in enumerate([1.0, 3.0, 1.0, 6.0], start=1):
        session.record_line(f"tick {tick}")
        await trio.sleep(pause_s)

    assert session.longest_gap_s == 3.0
    assert session.is_stalled(trio.current_time(), 5.0)
    assert not session.is_stalled(trio.current_time(), 6.0)
