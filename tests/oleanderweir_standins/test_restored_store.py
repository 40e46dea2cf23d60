from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir_standins import StoreCondition
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route
from tests.oleanderweir_standins.fleet import Fleet
from tests.oleanderweir_standins.fleet import host_of


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# Time within which a confirmed version is in force at all processes.
APPLY_S = 3.0
# How long machines take to be in touch with the store again after the last fault.
STABLE_S = 4.0
SEEDS = [1, 2, 3]


@asynccontextmanager
async def open_fleet(
    monkeypatch: pytest.MonkeyPatch, *, era: int = 1
) -> AsyncIterator[Fleet]:
    """
    Run three processes, and a fourth whose calls are rejected by the store.

    The store begins in ``era``. The copy to which ``restore`` returns is older than the
    last two versions.
    """
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery=nursery, monkeypatch=monkeypatch)
        fleet.store.contents.era = era
        write_routes(fleet, 1)
        fleet.store.write_backend_server(make_record("b1"))
        for number in (1, 2, 3):
            fleet.start(number)
        fleet.start(4, condition=StoreCondition.BUSY)
        await trio.sleep(10)
        for route_count in (2, 3):
            write_routes(fleet, route_count)
            await fleet.stand_by(fleet.version, within_s=APPLY_S)
        await trio.sleep(2)
        yield fleet
        nursery.cancel_scope.cancel()


def write_routes(fleet: Fleet, count: int) -> None:
    fleet.store.write_routes([make_route(n, "feed") for n in range(1, count + 1)])


async def restore(fleet: Fleet, seed: int, *, age_s: float = 9.0) -> None:
    """Make the store unavailable for two seconds, and restore an older copy."""
    revision = fleet.store.revision_before(age_s)
    await make_unavailable(fleet, for_s=2.0)
    random_source = random.Random(seed)
    fleet.store.restore(revision=revision, random_source=random_source)


async def make_unavailable(fleet: Fleet, *, for_s: float) -> None:
    before = dict(fleet.store.conditions)
    fleet.store.conditions.update(dict.fromkeys(before, StoreCondition.SILENT))
    fleet.store.close_connections()
    await trio.sleep(for_s)
    fleet.store.conditions.update(before)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("delay_s", [0.1, 1.0, 2.5, 6.0])
async def test_a_route_written_after_a_restore_is_in_force_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    delay_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        await restore(fleet, seed)
        await trio.sleep(delay_s)

        write_routes(fleet, 4)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)
        write_routes(fleet, 5)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)

    assert fleet.regressions() == {}


@pytest.mark.parametrize("era", [2**24 - 1, 2**24, 2**41])
async def test_an_era_of_any_size_ends_no_process(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, era: int
) -> None:
    async with open_fleet(monkeypatch, era=era) as fleet:
        await restore(fleet, seed=1)
        write_routes(fleet, 4)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)
        fleet.start(5)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_process_that_starts_after_a_restore_gets_the_version_of_its_peers(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        await restore(fleet, seed)
        fleet.start(5)

        await fleet.stand_by(fleet.version, within_s=APPLY_S)
        await trio.sleep(10)

    assert fleet.regressions() == {}


@pytest.mark.parametrize("seed", SEEDS)
async def test_two_restores_in_quick_succession_lose_no_version(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        await restore(fleet, seed)
        write_routes(fleet, 4)
        await trio.sleep(0.3)
        await restore(fleet, seed + 1, age_s=4.0)

        write_routes(fleet, 5)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)
        fleet.start(5)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)

    assert fleet.regressions() == {}


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_draining_backend_server_stays_so_through_a_restore(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        draining = make_record("b1", state=BackendState.DRAINING)
        fleet.store.write_backend_server(draining)
        await trio.sleep(APPLY_S)
        seen: set[BackendState] = set()
        fleet.nursery.start_soon(watch_states, fleet, seen)

        await restore(fleet, seed)
        await trio.sleep(10)

    assert seen == {BackendState.DRAINING}
    assert all("servers/b1" in p.register.backends for p in fleet.processes.values())


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_restore_that_cuts_no_watch_is_noticed_before_the_watch_ends(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        revision = fleet.store.revision_before(9.0)
        fleet.store.writers.restore(revision, random.Random(seed))
        # As long as machines take to be in touch with the store again.
        await trio.sleep(4)

        write_routes(fleet, 4)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)

    assert fleet.regressions() == {}


@pytest.mark.parametrize("delay_s", [4.0, 6.0, 10.0])
async def test_a_version_written_after_all_connections_went_silent_is_in_force_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        fleet.silence_connections()
        # At least as long as machines take to be in touch with the store again.
        await trio.sleep(delay_s)

        write_routes(fleet, 4)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)


@pytest.mark.parametrize("delay_s", [0.1, 1.0, 2.0, 4.0])
async def test_silence_between_the_watches_of_all_readers_delays_no_version(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        # The readers pause after this change.
        fleet.store.write_backend_server(make_record("b2", host="10.0.0.2"))
        await trio.sleep(0.1)
        fleet.silence_connections()
        await trio.sleep(delay_s)

        write_routes(fleet, 4)
        await fleet.stand_by(fleet.version, within_s=max(APPLY_S, STABLE_S - delay_s))


@pytest.mark.parametrize("lost_for_s", [0.5, 1.0, 2.0, 4.0, 7.0])
@pytest.mark.parametrize("delay_s", [0.1, 0.5, 0.9, 1.3, 1.7])
async def test_a_version_whose_delivery_was_lost_is_in_force_in_time(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
    lost_for_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        await trio.sleep(delay_s)
        fleet.set_conditions(StoreCondition.LOSING)
        await trio.sleep(lost_for_s / 2)
        write_routes(fleet, 4)
        await trio.sleep(lost_for_s / 2)
        fleet.set_conditions(StoreCondition.SERVING)

        await fleet.stand_by(fleet.version, within_s=STABLE_S)


async def restore_while_suspended(fleet: Fleet) -> int:
    """
    Suspend a process that is no reader between two watches, through a whole restore.

    Write a version under a revision that the process has passed in the earlier history,
    then entries beyond it. Return the number of the process.
    """
    fleet.start(5)
    await trio.sleep(10)
    [number] = [
        number
        for number in (1, 2, 3, 5)
        if not fleet.processes[host_of(number)].heartbeat_sender.status.should_read
    ]
    write_routes(fleet, 4)
    await trio.sleep(0.1)
    fleet.suspend(number)

    await restore(fleet, seed=1, age_s=30.0)
    write_routes(fleet, 5)
    for sequence in range(10):
        fleet.store.write_backend_server(make_record("b2", host=f"10.0.0.{sequence}"))
    await trio.sleep(2)
    return number


@pytest.mark.parametrize(("reaches_peers", "within_s"), [(True, APPLY_S), (False, 4.0)])
async def test_a_process_that_wakes_after_a_restore_gets_the_newest_version(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    reaches_peers: bool,
    within_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        number = await restore_while_suspended(fleet)
        assert fleet.processes[host_of(number)].register.version < fleet.version

        fleet.wake(number, reaches_peers=reaches_peers)
        await fleet.stand_by(fleet.version, within_s=within_s)

    assert fleet.regressions() == {}


async def watch_states(fleet: Fleet, seen: set[BackendState]) -> None:
    """Add each state that any process has for any backend server to a set."""
    while True:
        for process in fleet.processes.values():
            seen.update(r.state for r in process.register.backends.values())
        await trio.sleep(0.01)
