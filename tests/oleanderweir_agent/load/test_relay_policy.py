from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import pytest

from tests.oleanderweir_agent.load.relay_policies import REQUEST
from tests.oleanderweir_agent.load.relay_policies import make_relay_policy


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_a_request_that_starts_here_stays(autojump_clock: MockClock) -> None:
    assert make_relay_policy().offer_before_waiting(REQUEST) is None


async def test_a_request_that_would_wait_is_offered_for_a_shorter_wait(
    autojump_clock: MockClock,
) -> None:
    relay = make_relay_policy()

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
    relay = make_relay_policy()
    for entry in relay.group.table.entries.values():
        entry.report = attrs.evolve(
            entry.report, free_slots=0, free_long_slots=0, expected_wait_s=5.0
        )

    async with relay.admission.admit(REQUEST):
        assert relay.offer_before_waiting(REQUEST) is None


async def test_a_refused_request_is_offered_to_two_peers_without_a_bound(
    autojump_clock: MockClock,
) -> None:
    relay = make_relay_policy()
    tried: list[str] = []
    while offer := relay.offer_rejected(REQUEST, tried=tried):
        tried.append(offer.peer)
        assert offer.request.max_wait_s == math.inf

    assert len(set(tried)) == 2
    assert "a" not in tried


async def test_patience_is_about_one_run(autojump_clock: MockClock) -> None:
    assert make_relay_policy().with_queue_timeout(
        REQUEST
    ).queue_timeout_s == pytest.approx(0.1)
