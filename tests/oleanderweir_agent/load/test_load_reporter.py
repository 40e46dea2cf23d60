from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.load import LoadReporter
from tests.oleanderweir_agent.load.relay_policies import REQUEST
from tests.oleanderweir_agent.load.relay_policies import make_relay_policy


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_reports_contain_the_load_and_have_increasing_versions(
    autojump_clock: MockClock,
) -> None:
    admission = make_relay_policy(slots=2).admission
    reporter = LoadReporter(name="a", incarnation=7, admission=admission, sessions=3)

    async with admission.admit(REQUEST):
        first = reporter.report()
    admission.drain.begin(drain_period_s=5.0)
    second = reporter.report()

    assert first.version < second.version
    assert (first.free_slots, second.free_slots) == (1, 0)
    assert (first.is_draining, second.is_draining) == (False, True)
    assert isinstance(first, LoadReport)
    assert first.sessions == 3
