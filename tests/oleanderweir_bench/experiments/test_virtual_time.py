from __future__ import annotations

import trio
from trio._core import _run

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time


async def race() -> list[int]:
    order: list[int] = []

    async def runner(number: int) -> None:
        await trio.sleep(1.0)
        order.append(number)

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(runner, number)
    return order


def test_tasks_ready_at_the_same_time_run_in_the_same_order_for_a_seed() -> None:
    previous = _run._ALLOW_DETERMINISTIC_SCHEDULING

    orders = {tuple(run_in_virtual_time(race, seed=seed)) for seed in (1, 2) * 3}

    assert len(orders) == 2
    assert previous == _run._ALLOW_DETERMINISTIC_SCHEDULING
