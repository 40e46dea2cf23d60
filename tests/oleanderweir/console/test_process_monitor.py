from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio
import trio.testing
from prometheus_client import CollectorRegistry

from oleanderweir.admin import Readiness
from oleanderweir.console.process_metrics import ProcessMetrics
from oleanderweir.console.process_monitor import ProcessMonitor
from oleanderweir.logs import RepeatFilter
from tests.oleanderweir.console.fakes import FakeProcess


if TYPE_CHECKING:
    import pytest


def create_monitor() -> tuple[ProcessMonitor, CollectorRegistry]:
    registry = CollectorRegistry()
    monitor = ProcessMonitor(
        readiness=Readiness(),
        metrics=ProcessMetrics(registry=registry),
        repeat_filter=RepeatFilter(),
    )
    return monitor, registry


async def test_a_pause_is_counted_and_logged(
    mock_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
) -> None:
    monitor, registry = create_monitor()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(0.25)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(5.25)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()

    assert registry.get_sample_value("oleanderweir_process_late_wake_ups_total") == 1
    delay_s = registry.get_sample_value(
        "oleanderweir_process_late_wake_up_seconds_total"
    )
    assert delay_s == 5.0
    assert [record.code for record in caplog.records] == ["late_wake_up"]  # type: ignore[attr-defined]


async def test_readiness_changes_are_logged_once(
    autojump_clock: trio.testing.MockClock, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    monitor, registry = create_monitor()
    process = FakeProcess()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(1)
        monitor.readiness.source = process
        await trio.sleep(1)
        assert registry.get_sample_value("oleanderweir_process_ready") == 1
        process.is_ready = False
        await trio.sleep(1)
        nursery.cancel_scope.cancel()

    assert registry.get_sample_value("oleanderweir_process_ready") == 0
    assert [record.getMessage() for record in caplog.records] == [
        "ready",
        "not ready: not_configured",
    ]


async def test_suppressed_messages_are_exported(
    autojump_clock: trio.testing.MockClock,
) -> None:
    monitor, registry = create_monitor()
    monitor.repeat_filter.suppressed_total = 3
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()

    name = "oleanderweir_log_messages_suppressed_total"
    assert registry.get_sample_value(name) == 3
