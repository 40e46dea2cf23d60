"""Evacuation orders at processes that follow one store and each other."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir_standins import StoreCondition
from tests.oleanderweir_standins.fleet import host_of
from tests.oleanderweir_standins.test_lost_readers import AGENTS
from tests.oleanderweir_standins.test_lost_readers import APPLY_S
from tests.oleanderweir_standins.test_lost_readers import BALANCERS
from tests.oleanderweir_standins.test_lost_readers import open_fleet


if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.oleanderweir_standins.fleet import Fleet


ORDER = "op/evacuate/a"
ALL = [*BALANCERS, *AGENTS]


def find_evacuated(fleet: Fleet) -> list[int]:
    """Return the processes that hold the zone for evacuated."""
    processes = {number: fleet.processes[host_of(number)] for number in ALL}
    return [n for n, process in processes.items() if process.register.is_evacuated("a")]


async def check_orders(fleet: Fleet) -> None:
    """Order, withdraw and order again; fail if a process doesn't know it in time."""
    for is_ordered in (True, False, True):
        if is_ordered:
            fleet.store.contents.write(ORDER, {})
        else:
            fleet.store.contents.remove(ORDER)
        await trio.sleep(APPLY_S)
        assert find_evacuated(fleet) == (ALL if is_ordered else [])


# Guards against a watch that is dead without an error, and a store that serves others
# only: peers tell the process.
@pytest.mark.parametrize("condition", [StoreCondition.SERVING, StoreCondition.BUSY])
@pytest.mark.parametrize("numbers", [[], [3], [7], BALANCERS[:4], AGENTS])
async def test_processes_without_a_watch_know_orders_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    numbers: Sequence[int],
    condition: StoreCondition,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for number in numbers:
            fleet.store.conditions[number] = condition
            fleet.silence_connections(number)
        await check_orders(fleet)

        fetches = len(fleet.fetched_at)
        await trio.sleep(30)
        assert len(fleet.fetched_at) == fetches


async def test_a_new_process_and_a_lost_history_miss_no_order_or_withdrawal(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        fleet.store.contents.write(ORDER, {})
        await trio.sleep(APPLY_S)
        fleet.kill(3)
        fleet.start(3)
        await trio.sleep(APPLY_S)
        assert find_evacuated(fleet) == ALL

        fleet.store.close_connections()
        fleet.store.contents.remove(ORDER)
        fleet.store.compact_history()
        await trio.sleep(APPLY_S)

        assert find_evacuated(fleet) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_withdrawn_order_stays_so_after_a_restore_until_written_anew(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        fleet.store.contents.write(ORDER, {})
        await trio.sleep(APPLY_S)
        fleet.store.contents.remove(ORDER)
        await trio.sleep(APPLY_S)

        revision = fleet.store.revision_before(APPLY_S + 1.0)
        fleet.store.restore(revision=revision, random_source=random.Random(seed))
        assert ORDER in fleet.store.contents.entries
        for _ in range(20):
            await trio.sleep(0.1)
            assert find_evacuated(fleet) == []

        await trio.sleep(APPLY_S)
        await check_orders(fleet)
