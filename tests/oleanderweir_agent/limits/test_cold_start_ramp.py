from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.limits import ColdStartRamp


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_cold_start_adds_one_slot_at_a_time(autojump_clock: MockClock) -> None:
    ramp = ColdStartRamp(duration_s=9.0, initial_share=0.25)
    assert ramp.limit(4) == 4

    ramp.restart()
    limits = []
    while ramp.limit(4) < 4:
        limits.append(ramp.limit(4))
        await trio.sleep_until(ramp.next_rise_at(4) + 0.001)

    assert limits == [1, 2, 3]
    assert ramp.next_rise_at(4) == float("inf")
