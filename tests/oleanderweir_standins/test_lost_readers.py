from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import pytest
import trio
import trio.testing

from oleanderweir.desired_state import BackendState
from oleanderweir.peering.messages import PeerRole
from oleanderweir_standins import StoreCondition
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route
from tests.oleanderweir_standins.fleet import Fleet
from tests.oleanderweir_standins.fleet import host_of


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

    from oleanderweir.desired_state import BackendRecord


# Time within which a drain, and a new version, are in force at all processes.
APPLY_S = 3.0
BALANCERS = range(1, 7)
AGENTS = range(7, 10)
DRAINED = AGENTS[0]
# Longer than all processes need to find each other and agree on the readers.
SETTLING_S = 15.0


@asynccontextmanager
async def open_fleet(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Fleet]:
    """Run balancers and agents until they have found each other."""
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery=nursery, monkeypatch=monkeypatch)
        write_routes(fleet, 1)
        for number in AGENTS:
            fleet.store.write_backend_server(make_backend(number))
        for number in BALANCERS:
            fleet.start(number)
        for number in AGENTS:
            fleet.start(number, role=PeerRole.AGENT)
        await trio.sleep(SETTLING_S)
        yield fleet
        nursery.cancel_scope.cancel()


def write_routes(fleet: Fleet, count: int) -> None:
    fleet.store.write_routes([make_route(n, "feed") for n in range(1, count + 1)])


def make_backend(
    number: int, state: BackendState = BackendState.READY
) -> BackendRecord:
    return attrs.evolve(make_record(f"b{number}", host=host_of(number)), state=state)


def find_readers(fleet: Fleet) -> list[int]:
    """Return the numbers of the balancers that watch the backend servers."""
    return [
        number
        for number in BALANCERS
        if host_of(number) in fleet.processes
        and fleet.processes[host_of(number)].heartbeat_sender.status.should_read
    ]


def kill_all(fleet: Fleet, numbers: Iterable[int]) -> None:
    for number in numbers:
        fleet.kill(number)


async def check_drain(fleet: Fleet) -> None:
    """Drain a backend server; fail if a process doesn't know it in time."""
    record = attrs.evolve(make_backend(DRAINED, BackendState.DRAINING), sequence=2)
    fleet.store.write_backend_server(record)
    await trio.sleep(APPLY_S)
    late = [
        host
        for host, process in fleet.processes.items()
        if process.backend_states[f"servers/b{DRAINED}"][0] is BackendState.READY
    ]
    assert late == []


# Guards against trust in readers that are gone: a drain reached no process.
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 1.0, 2.5])
async def test_a_drain_is_known_in_time_after_all_readers_are_lost(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        kill_all(fleet, find_readers(fleet))
        await trio.sleep(delay_s)

        await check_drain(fleet)


@pytest.mark.parametrize("survivor", [*BALANCERS, None])
async def test_a_drain_is_known_in_time_whichever_balancer_is_left(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    survivor: int | None,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        kill_all(fleet, [number for number in BALANCERS if number != survivor])

        await check_drain(fleet)


async def test_a_drain_is_known_in_time_after_readers_are_lost_one_by_one(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for _ in range(5):
            kill_all(fleet, find_readers(fleet)[:1])
            await trio.sleep(0.7)

        await check_drain(fleet)


@pytest.mark.parametrize(
    "condition",
    [StoreCondition.UNREACHABLE, StoreCondition.LOSING, StoreCondition.BUSY],
)
async def test_a_drain_is_known_in_time_after_the_store_fails_all_readers(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    condition: StoreCondition,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        for number in find_readers(fleet):
            fleet.store.conditions[number] = condition
            fleet.silence_connections(number)

        await check_drain(fleet)


# Guards against the same trust where the answer to an own watch was lost.
@pytest.mark.parametrize("delay_s", [0.0, 1.0, 2.5])
async def test_a_version_is_in_force_in_time_after_readers_and_answers_are_lost(
    autojump_clock: trio.testing.MockClock,
    monkeypatch: pytest.MonkeyPatch,
    delay_s: float,
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        fleet.silence_connections()
        kill_all(fleet, find_readers(fleet))
        await trio.sleep(delay_s)

        write_routes(fleet, 2)
        await fleet.stand_by(fleet.version, within_s=APPLY_S)


async def test_a_drain_is_known_in_time_to_processes_that_start_after_the_loss(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        kill_all(fleet, BALANCERS)
        kill_all(fleet, AGENTS)
        fleet.start(BALANCERS[0])
        for number in AGENTS:
            fleet.start(number, role=PeerRole.AGENT)
        await trio.sleep(0.1)

        await check_drain(fleet)


async def test_three_balancers_confirm_their_state_while_nothing_happens(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with open_fleet(monkeypatch) as fleet:
        readers = find_readers(fleet)
        await trio.sleep(30.0)

        assert len(readers) == 3
        assert find_readers(fleet) == readers
        for number in AGENTS:
            process = fleet.processes[host_of(number)]
            assert not process.heartbeat_sender.status.should_read
