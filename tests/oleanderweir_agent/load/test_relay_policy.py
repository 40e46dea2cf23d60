from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import pytest

from tests.oleanderweir_agent.load.relay_policies import REQUEST
from tests.oleanderweir_agent.load.relay_policies import make_relay_policy


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_no_offer_is_made_when_a_local_slot_is_free(
    autojump_clock: MockClock,
) -> None:
    assert make_relay_policy().offer_before_waiting(REQUEST) is None


async def test_a_request_that_would_wait_is_offered_with_a_shorter_max_wait(
    autojump_clock: MockClock,
) -> None:
    policy = make_relay_policy()

    async with policy.admission.admit(REQUEST):
        own_wait_s = policy.admission.forecast_wait_s(REQUEST)
        offer = policy.offer_before_waiting(REQUEST)

    assert offer is not None
    assert offer.peer != "a"
    assert offer.request.max_wait_s == pytest.approx(own_wait_s / 2)
    assert offer.request.is_relayed
    assert offer.request.arrived_at is None


async def test_no_offer_is_made_when_all_peers_have_longer_waits(
    autojump_clock: MockClock,
) -> None:
    policy = make_relay_policy()
    for entry in policy.group.table.entries.values():
        entry.report = attrs.evolve(
            entry.report, free_slots=0, free_long_slots=0, expected_wait_s=5.0
        )

    async with policy.admission.admit(REQUEST):
        assert policy.offer_before_waiting(REQUEST) is None


async def test_a_rejected_request_is_offered_to_two_peers_without_a_max_wait(
    autojump_clock: MockClock,
) -> None:
    policy = make_relay_policy()
    tried: list[str] = []
    while offer := policy.offer_rejected(REQUEST, tried=tried):
        tried.append(offer.peer)
        assert offer.request.max_wait_s == math.inf

    assert len(set(tried)) == 2
    assert "a" not in tried


async def test_the_queue_timeout_is_the_median_service_time(
    autojump_clock: MockClock,
) -> None:
    assert make_relay_policy().with_queue_timeout(
        REQUEST
    ).queue_timeout_s == pytest.approx(0.1)
