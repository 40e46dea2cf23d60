from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_standins import StoreCondition
from tests.oleanderweir_standins.disturbance import AGENTS
from tests.oleanderweir_standins.disturbance import BALANCERS
from tests.oleanderweir_standins.disturbance import STABLE_S
from tests.oleanderweir_standins.disturbance import Disturbance
from tests.oleanderweir_standins.disturbance import role_of
from tests.oleanderweir_standins.fleet import Fleet


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence


# Without keepalive probes and the short watches of readers, the last one fails.
SEEDS = [1, 2, 3, 13]
ROUNDS = 8
MAX_ROUND_S = 4.0
# Time within which a confirmed version is in force at all processes.
APPLY_S = 3.0
PROCESSES = (*BALANCERS, *AGENTS)


class RoundOfFaults:
    """
    A few faults and writes at random times, of which some overlap.

    ``written_at`` is when the operator wrote its last version.
    """

    def __init__(self, *, disturbance: Disturbance) -> None:
        self.disturbance = disturbance
        self.fleet = disturbance.fleet
        self.random_source = disturbance.random_source
        self.written_at = trio.current_time()

    async def run(self) -> None:
        faults: list[Callable[[], Awaitable[None]]] = [
            self.disturbance.restore,
            self.restore_twice,
            self.disturbance.silence,
            self.disturbance.reject,
            self.disturbance.compact,
            self.disturbance.kill,
            self.disturbance.cut,
            self.disturbance.change_backend,
            partial(self.disturb_store, StoreCondition.LOSING, PROCESSES),
            partial(self.disturb_store, StoreCondition.SLOW, PROCESSES),
            self.make_unreachable,
            self.lose_some_answers,
            self.hide_era,
        ]
        chosen = self.random_source.choices(faults, k=self.random_source.randint(1, 4))
        async with trio.open_nursery() as nursery:
            for fault in [*chosen, self.write_version]:
                nursery.start_soon(self._run_later, fault)

    async def _run_later(self, fault: Callable[[], Awaitable[None]]) -> None:
        await trio.sleep(self.random_source.uniform(0.0, MAX_ROUND_S))
        await fault()

    async def write_version(self) -> None:
        await self.disturbance.write_version()
        self.written_at = trio.current_time()

    async def restore_twice(self) -> None:
        """Restore the store twice, with no call of a process in between."""
        store = self.fleet.store
        for _ in range(2):
            revision = store.revision_before(self.random_source.uniform(1.0, 12.0))
            store.restore(revision=revision, random_source=self.random_source)

    async def disturb_store(
        self, condition: StoreCondition, numbers: Sequence[int]
    ) -> None:
        """Change how the store serves some processes, for some time."""
        conditions = self.fleet.store.conditions
        conditions.update(dict.fromkeys(numbers, condition))
        await trio.sleep(self.random_source.uniform(0.1, 6.0))
        conditions.update(dict.fromkeys(numbers, StoreCondition.SERVING))

    async def lose_some_answers(self) -> None:
        numbers = self.random_source.sample(PROCESSES, 5)
        await self.disturb_store(StoreCondition.LOSING, numbers)

    async def make_unreachable(self) -> None:
        """Cut the store off from all processes."""
        self.fleet.silence_connections()
        await self.disturb_store(StoreCondition.UNREACHABLE, PROCESSES)

    async def hide_era(self) -> None:
        """Have the store name its era in no response, for some time."""
        self.fleet.store.names_era = False
        await trio.sleep(self.random_source.uniform(0.1, 3.0))
        self.fleet.store.names_era = True


@pytest.mark.parametrize("seed", SEEDS)
def test_each_version_is_in_force_once_machines_are_in_touch_again(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    run_in_virtual_time(partial(check_rounds, monkeypatch, seed), seed=seed)


async def check_rounds(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    random_source = random.Random(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(
            nursery=nursery, monkeypatch=monkeypatch, random_source=random_source
        )
        fleet.max_delay_s = 0.03
        fleet.loss = 0.01
        disturbance = Disturbance(fleet=fleet, random_source=random_source)
        await disturbance.write_version()
        for number in AGENTS:
            disturbance.start_backend(number)
        for number in PROCESSES:
            fleet.start(number, role=role_of(number))
        await trio.sleep(2 * STABLE_S)

        for _ in range(ROUNDS):
            faults = RoundOfFaults(disturbance=disturbance)
            await faults.run()
            ended_at = trio.current_time()
            await trio.sleep_until(
                max(ended_at + STABLE_S, faults.written_at + APPLY_S)
            )

            in_force = {h: p.register.version for h, p in fleet.processes.items()}
            assert in_force == dict.fromkeys(in_force, fleet.version)
            for process in fleet.processes.values():
                assert process.backend_states == disturbance.backend_states
        assert fleet.regressions() == {}
        nursery.cancel_scope.cancel()
