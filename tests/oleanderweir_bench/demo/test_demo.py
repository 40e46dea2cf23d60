from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import pytest

from oleanderweir_bench.callers import Response
from oleanderweir_bench.demo import Demo


if TYPE_CHECKING:
    from collections.abc import Mapping

    from trio.testing import MockClock


class FakeFeed:
    """A feed that ends after its lines."""

    status = 200

    def __init__(self, lines: list[str]) -> None:
        self.lines = list(lines)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def __anext__(self) -> str:
        if not self.lines:
            raise StopAsyncIteration
        return self.lines.pop(0)

    def __aiter__(self) -> Self:
        return self


class FakeCaller:
    """Responds to every request with the same status."""

    handshake_s = 0.01

    def __init__(self, *, status: int, ticks: list[str]) -> None:
        self.status = status
        self.ticks = ticks

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def request(self, method: str, path: str, **_: object) -> Response:
        headers: Mapping[str, str] = {}
        return Response(status=self.status, headers=headers, body=b"text")

    async def open_feed(self, path: str) -> FakeFeed:
        return FakeFeed(self.ticks)


class FakeDeployment:
    """Records its start and the changes to its first balancer."""

    def __init__(self, *, caller: FakeCaller, started_reports: list[str]) -> None:
        self.caller = caller
        self.started_reports = started_reports
        self.steps: list[str] = []
        process = SimpleNamespace(kill=lambda: self.steps.append("kill"))
        balancer = SimpleNamespace(name="balancer-1", host="h", process=process)
        self.balancers = {"balancer-1": balancer}
        self.service = SimpleNamespace(name="horaflujo", address="192.0.2.1:443")
        self.fabric = self

    async def start(self, **_: int) -> None:
        self.steps.append("start")

    async def remove_balancer(self, host: str) -> None:
        self.steps.append(f"remove {host}")

    async def list_started_item_ids(self) -> list[str]:
        return self.started_reports

    def create_caller(self) -> FakeCaller:
        return self.caller


TICKS = [f"tick {number}" for number in range(1, 11)]
REPORT = "station-17-0001"


@pytest.mark.parametrize(
    ("status", "started_reports", "ticks", "expected"),
    [
        (200, [REPORT], TICKS, [True, True, True]),
        (503, [], TICKS, [False, False, True]),
        (200, [REPORT, REPORT], TICKS, [True, False, True]),
        (200, [REPORT], TICKS[:7], [True, True, False]),
        (200, [REPORT], TICKS[:4] + TICKS[5:], [True, True, False]),
    ],
    ids=["complete", "rejected", "doubled-report", "feed-ends", "tick-missing"],
)
async def test_each_check_detects_its_failure(
    autojump_clock: MockClock,
    status: int,
    started_reports: list[str],
    ticks: list[str],
    expected: list[bool],
) -> None:
    caller = FakeCaller(status=status, ticks=ticks)
    deployment: Any = FakeDeployment(caller=caller, started_reports=started_reports)

    checks = await Demo(deployment=deployment, report_progress=lambda _: None).run()

    assert [check.is_passed for check in checks] == expected
    assert deployment.steps == ["start", "kill", "remove h"]
