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
from tests.oleanderweir_standins.test_lost_readers import SETTLING_S
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


def write_order(fleet: Fleet, *, is_ordered: bool, zone: str = "a") -> None:
    """Write the order of a zone, or remove it."""
    if is_ordered:
        fleet.store.contents.write(f"op/evacuate/{zone}", {})
    else:
        fleet.store.contents.remove(f"op/evacuate/{zone}")


def restart(fleet: Fleet, number: int) -> None:
    """Kill a process and start it again."""
    role = fleet.processes[host_of(number)].role
    fleet.kill(number)
    fleet.start(number, role=role)


async def check_orders(fleet: Fleet) -> None:
    """Order, withdraw and order again; fail if a process doesn't know it in time."""
    for is_ordered in (True, False, True):
        write_order(fleet, is_ordered=is_ordered)
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


# Nothing in the store tells that the order which its copy has was withdrawn.
@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("numbers", [[1], [9], [3, 4, 7]])
async def test_processes_that_missed_a_withdrawal_learn_of_it_after_a_restore(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    numbers: Sequence[int],
    is_restarted: bool,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        write_order(fleet, is_ordered=True)
        await trio.sleep(APPLY_S)
        for number in numbers:
            fleet.cut_hosts.add(host_of(number))
            fleet.store.conditions[number] = StoreCondition.UNREACHABLE
            fleet.silence_connections(number)
        write_order(fleet, is_ordered=False)
        await trio.sleep(APPLY_S)

        revision = fleet.store.revision_before(APPLY_S + 1.0)
        # Without the writers, which would remove the order again.
        fleet.store.contents.restore(revision)
        fleet.store.close_connections()
        fleet.set_conditions(StoreCondition.SERVING)
        for number in numbers:
            if is_restarted:
                restart(fleet, number)
        await trio.sleep(SETTLING_S)
        assert find_evacuated(fleet) == numbers

        fleet.cut_hosts.clear()
        await trio.sleep(APPLY_S)
        assert find_evacuated(fleet) == []
        await check_orders(fleet)


async def test_a_rolling_restart_amid_an_evacuation_neither_loses_nor_prolongs_it(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for is_ordered in (True, False):
            for number in AGENTS:
                if number == AGENTS[1]:
                    write_order(fleet, is_ordered=is_ordered)
                restart(fleet, number)
                await trio.sleep(APPLY_S)

            assert find_evacuated(fleet) == (ALL if is_ordered else [])


@pytest.mark.parametrize("outage_s", [1.0, 5.0, 20.0])
async def test_an_order_of_before_an_outage_stays_and_one_of_its_end_is_known_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    outage_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        write_order(fleet, is_ordered=True)
        await trio.sleep(APPLY_S)
        fleet.set_conditions(StoreCondition.SILENT)
        fleet.store.close_connections()
        restart(fleet, AGENTS[0])
        await trio.sleep(outage_s)
        assert find_evacuated(fleet) == ALL

        fleet.set_conditions(StoreCondition.SERVING)
        write_order(fleet, is_ordered=False)
        await trio.sleep(APPLY_S + 1.0)
        assert find_evacuated(fleet) == []


async def test_zones_are_evacuated_and_taken_back_independently(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        steps = ("a", "b"), ("b",), ("b", "c"), ()
        known: tuple[str, ...] = ()
        for zones in steps:
            for zone in {*known, *zones}:
                write_order(fleet, is_ordered=zone in zones, zone=zone)
            known = zones
            restart(fleet, BALANCERS[2])
            await trio.sleep(APPLY_S)
            for process in fleet.processes.values():
                assert process.register.evacuated_zones == set(zones)
