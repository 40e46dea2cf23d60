from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import BackendState
from oleanderweir.peering.messages import PeerRole
from oleanderweir_standins import StoreCondition
from tests.oleanderweir.desired_state.fakes import make_record
from tests.oleanderweir.desired_state.fakes import make_route
from tests.oleanderweir_standins.fleet import host_of


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir.desired_state import BackendRecord
    from tests.oleanderweir_standins.fleet import Fleet


FAULTS_S = 40.0
# How long machines take to be in touch with each other after the last fault.
STABLE_S = 4.0
BALANCERS = range(1, 6)
# Each is beside a backend server.
AGENTS = range(6, 10)


class Disturbance:
    """Disturbs a fleet and its store at random, then lets all recover."""

    def __init__(self, *, fleet: Fleet, random_source: random.Random) -> None:
        self.fleet = fleet
        self.random_source = random_source
        self.running: dict[int, BackendRecord] = {}
        self.started_ms = 1000
        self.route_count = 1

    @property
    def backend_states(self) -> dict[str, tuple[BackendState, int]]:
        """States and starts of the running backend servers, as processes know them."""
        return {
            f"servers/{record.identifier}": (record.state, record.started_at_ms)
            for record in self.running.values()
        }

    async def run(self) -> None:
        actions: list[Callable[[], Awaitable[None]]] = [
            self.restore,
            self.write_version,
            self.write_version,
            self.change_backend,
            self.change_backend,
            self.change_backend,
            self.kill,
            self.cut,
            self.silence,
            self.reject,
            self.compact,
        ]
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(FAULTS_S):
                while True:
                    await trio.sleep(self.random_source.expovariate(1.0))
                    nursery.start_soon(self.random_source.choice(actions))
        self.fleet.loss = 0.01

    async def restore(self) -> None:
        """Take the store away for a moment, and restore an older copy."""
        store = self.fleet.store
        revision = store.revision_before(self.random_source.uniform(1.0, 12.0))
        if self.random_source.random() < 0.7:
            numbers = (*BALANCERS, *AGENTS)
            store.conditions.update(dict.fromkeys(numbers, StoreCondition.SILENT))
            store.close_connections()
            await trio.sleep(self.random_source.uniform(0.1, 3.0))
            store.conditions.update(dict.fromkeys(numbers, StoreCondition.SERVING))
            store.close_connections()
        revision = min(revision, store.contents.revision)
        store.writers.restore(revision, self.random_source)

    async def write_version(self) -> None:
        self.route_count += 1
        numbers = range(1, self.route_count + 1)
        self.fleet.store.write_routes([make_route(n, "feed") for n in numbers])

    async def change_backend(self) -> None:
        """Start, drain, stop, crash or restart a backend server."""
        number = self.random_source.choice(AGENTS)
        record = self.running.get(number)
        store = self.fleet.store
        if record is None:
            self.start_backend(number)
            return
        choice = self.random_source.choice(["drain", "crash", "restart"])
        if choice == "restart":
            self.start_backend(number)
        elif choice == "crash":
            del self.running[number]
            store.stop_backend_server(record.identifier)
            await trio.sleep(2.3)
            if number not in self.running:
                store.remove_backend_server(record.identifier)
        elif record.state is BackendState.READY:
            record = attrs.evolve(record, state=BackendState.DRAINING)
            self.running[number] = record
            store.write_backend_server(record)
            await trio.sleep(3)
            if self.running.get(number) is record:
                del self.running[number]
                store.remove_backend_server(record.identifier)

    def start_backend(self, number: int) -> None:
        self.started_ms += 1000
        record = make_record(
            f"b{number}", host=host_of(number), started_at_ms=self.started_ms
        )
        self.running[number] = record
        self.fleet.store.write_backend_server(record)

    async def kill(self) -> None:
        number = self.random_source.choice([*BALANCERS, *AGENTS])
        if host_of(number) in self.fleet.processes:
            self.fleet.kill(number)
            await trio.sleep(self.random_source.uniform(0.1, 3.0))
            self.fleet.start(number, role=role_of(number))

    async def cut(self) -> None:
        """Cut a process off from its peers and the store."""
        number = self.random_source.choice([*BALANCERS, *AGENTS])
        await self.fleet.cut(number, for_s=self.random_source.uniform(0.1, 9.0))

    async def silence(self) -> None:
        self.fleet.silence_connections()

    async def reject(self) -> None:
        """Have the store reject the calls of some processes."""
        numbers = self.random_source.sample([*BALANCERS, *AGENTS], 4)
        conditions = self.fleet.store.conditions
        conditions.update(dict.fromkeys(numbers, StoreCondition.BUSY))
        await trio.sleep(self.random_source.uniform(0.1, 6.0))
        conditions.update(dict.fromkeys(numbers, StoreCondition.SERVING))

    async def compact(self) -> None:
        self.fleet.store.compact_history()


def role_of(number: int) -> PeerRole:
    return PeerRole.BALANCER if number in BALANCERS else PeerRole.AGENT
