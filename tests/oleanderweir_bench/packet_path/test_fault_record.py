from __future__ import annotations

import trio
import trio.testing

from oleanderweir_bench.packet_path.fault_record import STABLE_S
from oleanderweir_bench.packet_path.fault_record import FaultRecord


async def test_a_host_is_disturbed_until_some_time_after_its_last_fault(
    autojump_clock: trio.testing.MockClock,
) -> None:
    record = FaultRecord()
    assert record.is_undisturbed("10.0.0.1")

    with record.fault("10.0.0.1"):
        with record.fault("10.0.0.1"):
            await trio.sleep(1.0)
        await trio.sleep(STABLE_S)
        assert not record.is_undisturbed("10.0.0.1")
    assert record.is_undisturbed("10.0.0.2")
    await trio.sleep(STABLE_S - 0.1)
    assert not record.is_undisturbed("10.0.0.1")
    await trio.sleep(0.1)
    assert record.is_undisturbed("10.0.0.1")
