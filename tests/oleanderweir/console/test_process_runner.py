from __future__ import annotations

import json
import logging
import signal
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import httpx
import pytest
import trio
import trio.testing
from prometheus_client.parser import text_string_to_metric_families

from oleanderweir.console import ProcessEndedError
from oleanderweir.console import ProcessFailedError
from oleanderweir.console import ProcessRunner
from oleanderweir.console import ShutdownCutError
from oleanderweir.net import AddressInUseError
from tests.oleanderweir.console.fakes import FakeDrainableProcess
from tests.oleanderweir.console.fakes import FakeProcess
from tests.oleanderweir.console.fakes import FakeStoppingProcess
from tests.oleanderweir.console.fakes import make_address_in_use_error
from tests.oleanderweir.helpers_admin import find_free_address
from tests.oleanderweir.settings.builders import build_settings
from tests.oleanderweir.settings.tls_files import ISSUED_AT
from tests.oleanderweir.settings.tls_files import VALIDITY
from tests.oleanderweir.settings.tls_files import write_tls_files


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from oleanderweir.settings import ProcessSettings


@pytest.fixture(autouse=True)
def _restore_logging() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    root.handlers = handlers
    root.setLevel(level)


class CreateRunner(Protocol):
    def __call__(
        self, process: FakeProcess, **changes: Any
    ) -> ProcessRunner[ProcessSettings]: ...


@pytest.fixture
def create_runner(tmp_path: Path) -> CreateRunner:
    material = write_tls_files(tmp_path)

    def create(process: FakeProcess, **changes: Any) -> ProcessRunner[ProcessSettings]:
        settings = build_settings(
            admin_address=find_free_address(),
            peer_tls_certificate=material.certificate,
            **changes,
        )
        return ProcessRunner(
            role="balancer", settings=settings, create_process=process.create
        )

    return create


async def serve_and_signal(
    runner: ProcessRunner[ProcessSettings], *numbers: signal.Signals
) -> float:
    """Return the virtual seconds from the first signal until ``serve`` returns."""
    with trio.fail_after(3600):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runner.serve)
            while not runner.readiness.is_ready:
                await trio.sleep(0.01)
            started_at = trio.current_time()
            for number in numbers:
                signal.raise_signal(number)
                await trio.sleep(0.01)
    return trio.current_time() - started_at


async def test_a_drained_process_stops_when_its_work_is_completed(
    autojump_clock: trio.testing.MockClock, create_runner: CreateRunner
) -> None:
    process = FakeDrainableProcess(work_s=7.0)
    runner = create_runner(process, shutdown_grace_s=30.0)

    duration_s = await serve_and_signal(runner, signal.SIGTERM)

    assert process.is_drained
    assert process.is_closed
    assert not runner.is_shutdown_cut
    assert 7.0 <= duration_s < 9.0


async def test_work_longer_than_the_grace_period_is_cancelled_and_reported(
    autojump_clock: trio.testing.MockClock, create_runner: CreateRunner
) -> None:
    process = FakeDrainableProcess(work_s=60.0)
    runner = create_runner(process, shutdown_grace_s=30.0)

    duration_s = await serve_and_signal(runner, signal.SIGINT)

    assert process.is_closed
    assert runner.is_shutdown_cut
    assert 30.0 <= duration_s < 32.0


async def test_a_process_that_cannot_drain_serves_for_the_grace_period(
    autojump_clock: trio.testing.MockClock, create_runner: CreateRunner
) -> None:
    process = FakeProcess()
    runner = create_runner(process, shutdown_grace_s=5.0)

    duration_s = await serve_and_signal(runner, signal.SIGTERM)

    assert 5.0 <= duration_s < 7.0
    assert not runner.is_shutdown_cut


async def test_a_second_signal_stops_the_process_at_once(
    autojump_clock: trio.testing.MockClock, create_runner: CreateRunner
) -> None:
    process = FakeDrainableProcess(work_s=60.0)
    runner = create_runner(process, shutdown_grace_s=30.0)

    duration_s = await serve_and_signal(runner, signal.SIGTERM, signal.SIGTERM)

    assert duration_s < 3.0
    assert runner.is_shutdown_cut


async def test_a_process_that_drains_reports_not_ready(
    create_runner: CreateRunner,
) -> None:
    runner = create_runner(FakeDrainableProcess(work_s=60.0))
    url = f"http://{runner.settings.admin_address}"
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
            nursery.start_soon(runner.serve)
            while not runner.readiness.is_ready:
                await trio.sleep(0.01)
            ready = await client.get(f"{url}/ready")
            signal.raise_signal(signal.SIGTERM)
            while not runner.readiness.is_shutting_down:
                await trio.sleep(0.01)
            draining = await client.get(f"{url}/ready")
            metrics = await client.get(f"{url}/metrics")
            signal.raise_signal(signal.SIGTERM)

    assert ready.status_code == 200
    assert (draining.status_code, draining.json()["reasons"]) == (
        503,
        ["shutting_down"],
    )
    assert "oleanderweir_process_ready 0.0" in metrics.text
    assert "process_cpu_seconds_total" in metrics.text
    (family,) = (
        family
        for family in text_string_to_metric_families(metrics.text)
        if family.name.endswith("certificate_expiry_timestamp_seconds")
    )
    assert family.samples[0].value == (ISSUED_AT + VALIDITY).timestamp()


@pytest.mark.parametrize(
    ("process", "expected"),
    [
        (FakeProcess(error=make_address_in_use_error()), AddressInUseError),
        (FakeProcess(error=ZeroDivisionError("oops")), ProcessFailedError),
        (FakeStoppingProcess(), ProcessEndedError),
    ],
    ids=["known-error", "unexpected-error", "stopped-by-itself"],
)
def test_a_failure_while_serving_raises_one_error(
    process: FakeProcess, expected: type[Exception], create_runner: CreateRunner
) -> None:
    with pytest.raises(expected):
        create_runner(process).run()


def test_a_shutdown_with_unfinished_work_is_an_error(
    capsys: pytest.CaptureFixture[str], create_runner: CreateRunner
) -> None:
    process = FakeDrainableProcess(work_s=60.0)
    runner = create_runner(process, shutdown_grace_s=0.0)
    process.run = run_and_raise_sigterm(process)  # type: ignore[method-assign]

    with pytest.raises(ShutdownCutError, match="raise --shutdown-grace-s above 0"):
        runner.run()

    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line["code"] for line in lines][:1] == ["starting"]
    assert {"signal", "shutting_down"} <= {line["code"] for line in lines}


def run_and_raise_sigterm(process: FakeProcess) -> Any:
    async def run(*, task_status: trio.TaskStatus[None]) -> None:
        task_status.started()
        await trio.testing.wait_all_tasks_blocked()
        signal.raise_signal(signal.SIGTERM)
        await trio.sleep_forever()

    return run
