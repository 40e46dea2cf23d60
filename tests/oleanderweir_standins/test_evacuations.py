"""Evacuation orders at processes that follow one store and each other."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir_standins import StoreCondition
from tests.oleanderweir_standins.fleet import Fleet
from tests.oleanderweir_standins.fleet import host_of
from tests.oleanderweir_standins.test_lost_readers import AGENTS
from tests.oleanderweir_standins.test_lost_readers import BALANCERS
from tests.oleanderweir_standins.test_lost_readers import open_fleet


if TYPE_CHECKING:
    from collections.abc import Iterable


# Time within which an order, or its withdrawal, is known to all processes in touch.
APPLY_S = 3.0
ORDER = "op/evacuate/a"
ALL = [*BALANCERS, *AGENTS]


def order(fleet: Fleet) -> None:
    fleet.store.contents.write(ORDER, {})


def withdraw(fleet: Fleet) -> None:
    fleet.store.contents.remove(ORDER)


def find_evacuated(fleet: Fleet, numbers: Iterable[int] = ALL) -> list[int]:
    """Return the processes that hold the zone for evacuated."""
    return [
        number
        for number in numbers
        if fleet.processes[host_of(number)].register.is_evacuated("a")
    ]


async def check_order_and_withdrawal(fleet: Fleet) -> None:
    """Order, withdraw and order again; fail if a process doesn't know it in time."""
    for _ in range(2):
        order(fleet)
        await trio.sleep(APPLY_S)
        assert find_evacuated(fleet) == ALL
        withdraw(fleet)
        await trio.sleep(APPLY_S)
        assert find_evacuated(fleet) == []


async def test_all_processes_know_an_order_and_its_withdrawal_in_time(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        await check_order_and_withdrawal(fleet)
        fetches = len(fleet.fetched_at)
        await trio.sleep(30)

        assert len(fleet.fetched_at) == fetches


# Guards against a watch that is dead without an error: only peers tell the process.
@pytest.mark.parametrize("numbers", [[3], [7], BALANCERS, AGENTS, ALL])
async def test_processes_whose_watches_went_silent_know_an_order_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    numbers: Iterable[int],
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for number in numbers:
            fleet.silence_connections(number)

        await check_order_and_withdrawal(fleet)


# The store rejects some machines and serves the others.
@pytest.mark.parametrize("numbers", [[3], [7], BALANCERS[:4], AGENTS])
async def test_processes_that_the_store_rejects_know_an_order_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    numbers: Iterable[int],
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for number in numbers:
            fleet.store.conditions[number] = StoreCondition.BUSY
            fleet.silence_connections(number)
        await trio.sleep(APPLY_S)

        await check_order_and_withdrawal(fleet)


async def test_an_agent_that_is_cut_off_from_its_peers_knows_an_order_by_itself(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        fleet.cut_hosts.add(host_of(AGENTS[0]))
        for number in BALANCERS:
            fleet.store.conditions[number] = StoreCondition.UNREACHABLE
            fleet.silence_connections(number)

        order(fleet)
        await trio.sleep(APPLY_S)

        assert AGENTS[0] in find_evacuated(fleet)


async def test_a_process_that_starts_later_knows_an_order(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        order(fleet)
        await trio.sleep(APPLY_S)
        fleet.kill(3)
        fleet.start(3)
        await trio.sleep(APPLY_S)

        assert find_evacuated(fleet) == ALL


async def test_a_lost_history_loses_no_withdrawal(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        order(fleet)
        await trio.sleep(APPLY_S)
        fleet.store.close_connections()
        withdraw(fleet)
        fleet.store.compact_history()
        await trio.sleep(APPLY_S)

        assert find_evacuated(fleet) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_withdrawn_order_stays_so_after_a_restore_until_written_anew(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        order(fleet)
        await trio.sleep(APPLY_S)
        revision = fleet.store.revision_before(1.0)
        withdraw(fleet)
        await trio.sleep(APPLY_S)

        fleet.store.restore(revision=revision, random_source=random.Random(seed))
        assert ORDER in fleet.store.contents.entries
        for _ in range(20):
            await trio.sleep(0.1)
            assert find_evacuated(fleet) == []

        await trio.sleep(APPLY_S)
        await check_order_and_withdrawal(fleet)
