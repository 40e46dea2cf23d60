from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import ServiceGroup
from tests.oleanderweir_agent.load.load_tables import REPORT
from tests.oleanderweir_agent.load.load_tables import make_table


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_sessions_are_assigned_by_speed(autojump_clock: MockClock) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="a", service_time_s=0.1),
        attrs.evolve(REPORT, name="b", service_time_s=0.4),
    )
    chooser = LeastWaitChooser(random=random.Random(1))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    backends = [group.choose_backend() for _ in range(100)]

    assert 75 <= backends.count("a") <= 85


async def test_own_offers_since_a_report_are_counted(
    autojump_clock: MockClock,
) -> None:
    table = make_table(
        attrs.evolve(REPORT, name="b", free_slots=1),
        attrs.evolve(REPORT, name="c", free_slots=0, expected_wait_s=0.05),
    )
    chooser = LeastWaitChooser(random=random.Random(1))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    offers = [group.choose_peer() for _ in range(6)]

    assert offers[0] == "b"
    assert offers.count("c") >= 1
