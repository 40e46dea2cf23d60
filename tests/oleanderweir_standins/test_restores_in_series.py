from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from tests.oleanderweir_standins.disturbance import AGENTS
from tests.oleanderweir_standins.disturbance import BALANCERS
from tests.oleanderweir_standins.disturbance import STABLE_S
from tests.oleanderweir_standins.disturbance import Disturbance
from tests.oleanderweir_standins.disturbance import role_of
from tests.oleanderweir_standins.fleet import Fleet


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord


# The last ones failed once: connections went silent between two watches (185, 516), and
# the store dropped the entry of a running backend server (641).
SEEDS = [*range(1, 13), 185, 516, 641]
# Time within which a confirmed version is in force at all processes.
APPLY_S = 3.0
# Fetches of the whole fleet in a second after the last change.
MAX_CALM_FETCHES_PER_S = 2.0


def went_back(records: list[BackendRecord]) -> bool:
    """Whether a process went from one record to an earlier one."""
    return any(b.is_older_than(a) for a, b in zip(records, records[1:], strict=False))


@pytest.mark.parametrize("seed", SEEDS)
def test_restores_among_other_faults_leave_all_processes_with_the_newest_state(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    run_in_virtual_time(partial(check_disturbed_fleet, monkeypatch, seed), seed=seed)


async def check_disturbed_fleet(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    random_source = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            nursery=nursery, monkeypatch=monkeypatch, random_source=random_source
        )
        fleet.max_delay_s = 0.03
        disturbance = Disturbance(fleet=fleet, random_source=random_source)
        await disturbance.write_version()
        for number in AGENTS:
            disturbance.start_backend(number)
        for number in (*BALANCERS, *AGENTS):
            fleet.start(number, role=role_of(number))
        await trio.sleep(STABLE_S)
        fleet.loss = 0.05

        await disturbance.run()
        await trio.sleep(STABLE_S)
        await disturbance.write_version()
        await fleet.stand_by(fleet.version, within_s=APPLY_S)
        fetches_before = len(fleet.fetched_at)
        await trio.sleep(APPLY_S)

        for process in fleet.processes.values():
            assert process.backend_states == disturbance.backend_states
        fetches = len(fleet.fetched_at) - fetches_before
        assert fetches / APPLY_S <= MAX_CALM_FETCHES_PER_S
        assert fleet.regressions() == {}
        assert [key for key, known in fleet.records.items() if went_back(known)] == []
        nursery.cancel_scope.cancel()
