from __future__ import annotations

import io
import json
import math
from typing import TYPE_CHECKING

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from oleanderweir_bench.backend import BackendOptions
from oleanderweir_bench.backend import Executor
from oleanderweir_bench.backend import RunLedger
from oleanderweir_bench.backend import RunOutcome
from oleanderweir_bench.backend import RunRequest


if TYPE_CHECKING:
    from trio.testing import MockClock


def create_executor(options: BackendOptions) -> Executor:
    ledger = RunLedger(
        backend_server="horaflujo-1", now=trio.current_time, output=io.StringIO()
    )
    return Executor(options=options, ledger=ledger)


def create_run(work_ms: float, deadline: float = math.inf) -> RunRequest:
    return RunRequest(
        request_id="r", route="/work", work_ms=work_ms, deadline=deadline, item_id="i"
    )


async def test_requests_run_in_slots_wait_in_the_queue_or_are_shed(
    autojump_clock: MockClock,
) -> None:
    executor = create_executor(BackendOptions(slots=2, queue_limit=1))
    outcomes: list[tuple[RunOutcome, float]] = []

    async def execute() -> None:
        outcome = await executor.execute(create_run(1000))
        outcomes.append((outcome, trio.current_time()))

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(execute)

    shed = (RunOutcome.SHED, 0.0)
    ran = RunOutcome.RAN
    assert outcomes == [shed, shed, (ran, 1.0), (ran, 1.0), (ran, 2.0)]
    assert len(executor.ledger.records) == 3


@pytest.mark.parametrize(
    ("deadline", "outcome", "in_ledger"),
    [
        (0.5, RunOutcome.EXPIRED, 1),
        (1.5, RunOutcome.TIMED_OUT, 2),
        (2.5, RunOutcome.RAN, 2),
    ],
    ids=["while-waiting", "while-running", "later"],
)
async def test_work_stops_at_the_deadline(
    autojump_clock: MockClock, deadline: float, outcome: RunOutcome, in_ledger: int
) -> None:
    executor = create_executor(BackendOptions(slots=1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(executor.execute, create_run(1000))
        await wait_all_tasks_blocked()
        assert await executor.execute(create_run(1000, deadline)) is outcome

    assert len(executor.ledger.records) == in_ledger
    assert executor.busy == 0


async def test_cancelled_work_is_recorded_as_cancelled(
    autojump_clock: MockClock,
) -> None:
    executor = create_executor(BackendOptions())
    with trio.move_on_after(1.0):
        await executor.execute(create_run(5000))

    assert isinstance(executor.ledger.output, io.StringIO)
    lines = [
        json.loads(text) for text in executor.ledger.output.getvalue().splitlines()
    ]
    assert [line["event"] for line in lines] == ["run_started", "run_ended"]
    assert lines[1]["outcome"] == "cancelled"
    assert lines[1]["ended_at"] == 1.0
    assert lines[1]["item_id"] == "i"


async def test_speed_rises_during_a_cold_start(autojump_clock: MockClock) -> None:
    executor = create_executor(BackendOptions(speed=2.0, cold_start_s=10.0))

    speeds = []
    for _ in range(3):
        speeds.append(executor.speed)
        await trio.sleep(5.0)

    assert speeds == [0.5, 1.25, 2.0]
