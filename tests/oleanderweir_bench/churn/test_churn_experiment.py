from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import trio

from oleanderweir.net import SocketAddress
from oleanderweir_bench.callers import SessionClosedError
from oleanderweir_bench.churn import ChurnExperiment
from oleanderweir_bench.churn import ChurnSchedule
from oleanderweir_bench.deployment import AddressPlan


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir.configuration import BackendServer


class FakeDeployment:
    """Records the changes made to it, with the time in seconds."""

    def __init__(self) -> None:
        self.steps: list[tuple[float, str]] = []
        self.balancers = {
            name: self.make_balancer(name) for name in ("balancer-1", "balancer-2")
        }
        self.fabric = SimpleNamespace(
            add_balancer=self.record_async("fabric adds"),
            remove_balancer=self.record_async("fabric removes"),
        )

    def record(self, step: str) -> None:
        self.steps.append((trio.current_time(), step))

    def record_async(self, step: str) -> Any:
        async def record(subject: str) -> None:
            self.record(f"{step} {subject}")

        return record

    def make_balancer(self, name: str) -> Any:
        process = SimpleNamespace(
            kill=lambda: self.record(f"kill {name}"),
            freeze=lambda: self.record(f"freeze {name}"),
            thaw=lambda: self.record(f"thaw {name}"),
        )
        return SimpleNamespace(name=name, host=name, process=process)

    async def start_balancer(self, number: int) -> Any:
        return self.make_balancer(f"balancer-{number}")

    async def start_server(self, number: int) -> Any:
        return SimpleNamespace(entry=self.make_entry(number))

    async def wait_balancer(self, balancer: Any) -> None:
        await trio.sleep(1.0)

    async def wait_server(self, server: Any) -> None:
        await trio.sleep(1.0)

    async def publish(self, *, backend_servers: tuple[BackendServer, ...]) -> None:
        for entry in backend_servers:
            self.record(f"ticket {entry.name} draining={entry.is_draining}")

    def make_entry(self, number: int) -> BackendServer:
        return AddressPlan().backend_server("horaflujo", number, 4)

    def create_caller(self) -> Any:
        return RefusedCaller()


class RefusedCaller:
    """A caller whose session is refused."""

    address = SocketAddress(host="192.0.2.1", port=443)

    async def __aenter__(self) -> None:
        raise SessionClosedError(error_code=0x10C, reason="refused")


def create_experiment(deployment: Any) -> ChurnExperiment:
    return ChurnExperiment(
        deployment=deployment,
        schedule=ChurnSchedule(),
        sessions=2,
        routing="anchored",
        report_progress=lambda _: None,
    )


async def test_changes_are_made_at_their_scheduled_times(
    autojump_clock: MockClock,
) -> None:
    deployment = FakeDeployment()
    await create_experiment(deployment).run_schedule()

    assert deployment.steps == [
        (3.0, "kill balancer-1"),
        (4.0, "fabric removes balancer-1"),
        (9.0, "fabric adds balancer-4"),
        (12.0, "freeze balancer-2"),
        (17.0, "thaw balancer-2"),
        (20.0, "ticket horaflujo-5 draining=False"),
        (26.0, "ticket horaflujo-1 draining=True"),
    ]
    assert trio.current_time() == 36.0


async def test_a_session_that_does_not_open_is_broken(
    autojump_clock: MockClock,
) -> None:
    experiment = create_experiment(FakeDeployment())
    async with trio.open_nursery() as nursery:
        for session in experiment.sessions:
            nursery.start_soon(experiment.run_session, session)
        await experiment.wait_opened()

    assert all(session.is_broken for session in experiment.sessions)


async def test_the_error_of_a_stalled_session_names_the_time_of_its_last_tick(
    autojump_clock: MockClock,
) -> None:
    experiment = create_experiment(FakeDeployment())
    stalled, active = experiment.sessions
    stalled.record_line("tick 1")
    await trio.sleep(20.0)
    active.record_line("tick 1")
    experiment.mark_stalled_sessions()

    assert (stalled.error, active.error) == ("no tick after 0 s", "")
