from __future__ import annotations

from oleanderweir_agent.forwarding import ProbeOutcome
from oleanderweir_agent.forwarding.backend_liveness import BackendLiveness


def make_liveness(*, openings: int) -> BackendLiveness:
    liveness = BackendLiveness()
    liveness.on_tick(now=0.0)
    for _ in range(openings):
        liveness.on_opening(now=0.0)
    return liveness


def tick_until(liveness: BackendLiveness, end: float) -> None:
    """Tick the process every 50 ms until ``end``, without any received packet."""
    while liveness.last_tick_at < end - 0.01:
        liveness.on_tick(now=liveness.last_tick_at + 0.05)


def test_a_backend_server_that_answers_no_opening_and_refuses_a_probe_is_down() -> None:
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.2)
    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=0.2)

    tick_until(liveness, 0.4)
    assert not liveness.is_down()
    tick_until(liveness, 0.6)
    assert liveness.is_down()


def test_a_backend_server_that_answers_no_opening_packet_gets_no_new_flows() -> None:
    liveness = make_liveness(openings=2)

    tick_until(liveness, 0.4)
    assert liveness.allows_new_flows()
    tick_until(liveness, 0.6)
    assert not liveness.allows_new_flows()


def test_a_backend_server_is_not_down_while_its_probe_is_late() -> None:
    liveness = make_liveness(openings=2)

    tick_until(liveness, 0.6)

    assert not liveness.is_down()


def test_a_silent_probe_does_not_make_an_unresponsive_backend_server_down() -> None:
    # Its queue of new connections may be full.
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.2)
    liveness.on_probe_outcome(ProbeOutcome.SILENT, now=0.2)

    tick_until(liveness, 0.6)

    assert not liveness.is_down()


def test_a_backend_server_is_not_down_after_one_unanswered_opening() -> None:
    liveness = make_liveness(openings=1)

    tick_until(liveness, 5.0)

    assert not liveness.is_down()


def test_any_packet_resets_the_unanswered_openings() -> None:
    liveness = make_liveness(openings=2)

    liveness.on_backend_packet(now=0.0)

    tick_until(liveness, 0.6)
    assert not liveness.is_down()


def test_a_pause_of_the_process_is_not_silence_of_the_backend_server() -> None:
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.3)

    # After a pause, the process may read its sockets in any order before its next
    # tick.
    assert not liveness.is_down()
    liveness.on_tick(now=3.0)

    assert not liveness.is_down()


def test_a_down_backend_server_gets_new_flows_periodically() -> None:
    liveness = make_liveness(openings=2)
    allowed = []
    for step in range(31):
        tick_until(liveness, 0.1 * step)
        allowed.append(liveness.allows_new_flows())

    assert not allowed[10]
    assert allowed[16]
    assert not allowed[25]


def test_a_refused_probe_means_down_until_a_packet_is_received() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert liveness.is_down()
    assert not liveness.allows_new_flows()
    liveness.on_backend_packet(now=1.1)
    assert not liveness.is_down()


def test_a_refusal_is_inconclusive_before_any_connection_was_accepted() -> None:
    liveness = make_liveness(openings=0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert not liveness.is_down()
    assert liveness.allows_new_flows()


def test_an_unresponsive_backend_server_that_accepts_connections_is_not_down() -> None:
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.2)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.2)

    tick_until(liveness, 0.8)

    assert not liveness.is_down()
    assert not liveness.allows_new_flows()


def test_a_silent_probe_is_inconclusive() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.SILENT, now=0.0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)
    assert not liveness.is_down()

    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=2.0)
    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=3.0)
    liveness.on_probe_outcome(ProbeOutcome.SILENT, now=4.0)
    assert liveness.is_down()


def test_a_refusal_is_inconclusive_right_after_a_packet() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)
    liveness.on_backend_packet(now=0.9)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert not liveness.is_down()


def test_a_backend_server_is_probed_until_it_listens_and_while_it_seems_down() -> None:
    liveness = BackendLiveness()
    assert liveness.needs_probe(now=0.0)
    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=0.0)
    liveness.on_backend_packet(now=0.1)
    assert liveness.needs_probe(now=0.5)

    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.5)
    assert not liveness.needs_probe(now=1.0)

    liveness.on_opening(now=1.0)
    assert not liveness.needs_probe(now=1.05)
    assert liveness.needs_probe(now=1.15)
    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.15)
    assert not liveness.needs_probe(now=1.2)
    assert liveness.needs_probe(now=1.5)


def test_unanswered_payload_triggers_a_probe() -> None:
    liveness = BackendLiveness()
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)
    liveness.on_payload(now=1.0)
    liveness.on_payload(now=1.2)

    assert not liveness.needs_probe(now=1.3)
    assert liveness.needs_probe(now=1.5)
    liveness.on_backend_packet(now=1.5)
    assert not liveness.needs_probe(now=2.0)
