from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import attrs
import pytest

from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import LoadReport
from oleanderweir_agent.load import LoadReporter
from oleanderweir_agent.load import LoadTable
from oleanderweir_agent.load import RelayPolicy
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_agent.queueing import Admission
from oleanderweir_agent.queueing import FifoPolicy
from oleanderweir_agent.queueing import Route
from oleanderweir_agent.queueing import WorkRequest


if TYPE_CHECKING:
    from trio.testing import MockClock


REQUEST = WorkRequest(method="GET", path="/short", deadline=10.0, arrived_at=0.0)


def make_relay(*, slots: int = 1) -> RelayPolicy:
    admission = Admission(
        slots=slots, limiter=FixedLimit(limit=slots), policy=FifoPolicy()
    )
    for _ in range(10):
        admission.service_times.observe(Route(method="GET", template="/short"), 0.1)
    table = LoadTable(members=frozenset({"a", "b", "c", "d"}))
    for name in "abcd":
        reporter = LoadReporter(name=name, incarnation=1, admission=admission)
        table.merge(reporter.report())
    group = ServiceGroup(
        own_name="a", table=table, chooser=LeastWaitChooser(random=random.Random(1))
    )
    return RelayPolicy(admission=admission, group=group)


async def test_a_request_that_starts_here_stays(autojump_clock: MockClock) -> None:
    assert make_relay().offer_before_waiting(REQUEST) is None


async def test_a_request_that_would_wait_is_offered_for_a_shorter_wait(
    autojump_clock: MockClock,
) -> None:
    relay = make_relay()

    async with relay.admission.admit(REQUEST):
        own_wait_s = relay.admission.forecast_wait_s(REQUEST)
        offer = relay.offer_before_waiting(REQUEST)

    assert offer is not None
    assert offer.peer != "a"
    assert offer.request.max_wait_s == pytest.approx(own_wait_s / 2)
    assert offer.request.is_relayed
    assert offer.request.arrived_at is None


async def test_no_offer_is_made_when_every_peer_waits_longer(
    autojump_clock: MockClock,
) -> None:
    relay = make_relay()
    for entry in relay.group.table.entries.values():
        entry.report = attrs.evolve(
            entry.report, free_slots=0, free_long_slots=0, expected_wait_s=5.0
        )

    async with relay.admission.admit(REQUEST):
        assert relay.offer_before_waiting(REQUEST) is None


async def test_a_refused_request_is_offered_to_two_peers_without_a_bound(
    autojump_clock: MockClock,
) -> None:
    relay = make_relay()
    tried: list[str] = []
    while offer := relay.offer_refused(REQUEST, tried=tried):
        tried.append(offer.peer)
        assert offer.request.max_wait_s == math.inf

    assert len(set(tried)) == 2
    assert "a" not in tried


async def test_patience_is_about_one_run(autojump_clock: MockClock) -> None:
    assert make_relay().with_patience(REQUEST).patience_s == pytest.approx(0.1)


async def test_reports_tell_the_load_and_rise_in_sequence(
    autojump_clock: MockClock,
) -> None:
    admission = make_relay(slots=2).admission
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
