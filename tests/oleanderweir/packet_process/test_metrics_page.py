from __future__ import annotations

import logging

import trio
import trio.testing

from oleanderweir.event_log import EventCounters
from oleanderweir.packet_process.metrics_page import make_metrics_page
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change


def count_decision(counters: EventCounters, **fields: object) -> None:
    counters.emit(logging.makeLogRecord({"msg": "decision", **fields}))


def make_page(
    counters: EventCounters, *, started_at: dict[str, float] | None = None
) -> str:
    page = make_metrics_page(counters, evacuations_started_at=started_at or {})
    return page.body.decode()


def test_decisions_are_counted_by_code_and_reason() -> None:
    counters = EventCounters()
    count_decision(counters, code="flow_reset", reason="no_route")
    count_decision(counters, code="flow_reset", reason="no_route")
    count_decision(counters, code="packet_given_back", reason_code="FULL")

    page = make_page(counters)

    assert 'oleanderweir_events_total{code="flow_reset",reason="no_route"} 2.0' in page
    assert 'code="packet_given_back",reason="FULL"} 1.0' in page


def test_free_text_never_becomes_a_label() -> None:
    counters = EventCounters()
    count_decision(counters, code="source_unavailable", reason="call 17 failed")

    assert "call 17" not in make_page(counters)


def test_latencies_of_requests_form_a_histogram() -> None:
    counters = EventCounters()
    for took_ms in (20.0, 40.0, 400.0, 9000.0):
        count_decision(counters, code="request_answered", took_ms=took_ms)

    page = make_page(counters)

    assert 'oleanderweir_request_seconds_bucket{le="0.05"} 2.0' in page
    assert 'oleanderweir_request_seconds_bucket{le="+Inf"} 4.0' in page
    assert "oleanderweir_request_seconds_sum 9.46" in page


async def test_evacuated_zones_are_shown_with_the_age_of_their_orders(
    autojump_clock: trio.testing.MockClock,
) -> None:
    register = make_register()
    assert "zone_evacuated" not in make_page(EventCounters())
    apply_orders(register, order_change("a", revision=10))
    await trio.sleep(7)
    apply_orders(register, order_change("b", revision=11))
    apply_orders(register, order_change("b", revision=12, document=None))

    page = make_page(EventCounters(), started_at=register.evacuations_started_at)

    assert 'oleanderweir_zone_evacuated_seconds{zone="a"} 7.0' in page
    assert 'zone="b"' not in page
