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
    """Let the process run until a moment, and nothing come."""
    while liveness.last_tick_at < end - 0.01:
        liveness.on_tick(now=liveness.last_tick_at + 0.05)


def test_a_backend_server_that_answers_no_opening_is_gone() -> None:
    liveness = make_liveness(openings=2)

    tick_until(liveness, 0.4)
    assert not liveness.is_down()
    tick_until(liveness, 0.6)
    assert liveness.is_down()


def test_one_lost_opening_packet_is_no_proof() -> None:
    liveness = make_liveness(openings=1)

    tick_until(liveness, 5.0)

    assert not liveness.is_down()


def test_any_packet_shows_that_it_lives() -> None:
    liveness = make_liveness(openings=2)

    liveness.on_backend_packet(now=0.0)

    tick_until(liveness, 0.6)
    assert not liveness.is_down()


def test_a_pause_of_the_process_is_no_proof() -> None:
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.3)

    # The process wakes; it reads its sockets in any order before the next tick.
    assert not liveness.is_down()
    liveness.on_tick(now=3.0)

    assert not liveness.is_down()


def test_what_is_gone_is_tried_again_from_time_to_time() -> None:
    liveness = make_liveness(openings=2)
    tried = []
    for step in range(31):
        tick_until(liveness, 0.1 * step)
        tried.append(liveness.allows_new_flows())

    assert not tried[10]
    assert tried[16]
    assert not tried[25]


def test_a_refused_connection_is_a_proof_until_something_comes() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert liveness.is_down()
    assert not liveness.allows_new_flows()
    liveness.on_backend_packet(now=1.1)
    assert not liveness.is_down()


def test_a_refusal_proves_nothing_before_any_connection_was_accepted() -> None:
    liveness = make_liveness(openings=0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert not liveness.is_down()
    assert liveness.allows_new_flows()


def test_a_backend_server_that_accepts_connections_is_not_gone_but_avoided() -> None:
    liveness = make_liveness(openings=2)
    tick_until(liveness, 0.2)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.2)

    tick_until(liveness, 0.8)

    assert not liveness.is_down()
    assert not liveness.allows_new_flows()


def test_a_silent_probe_shows_nothing() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.SILENT, now=0.0)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)
    assert not liveness.is_down()

    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=2.0)
    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=3.0)
    liveness.on_probe_outcome(ProbeOutcome.SILENT, now=4.0)
    assert liveness.is_down()


def test_a_refusal_proves_nothing_right_after_a_packet_came() -> None:
    liveness = make_liveness(openings=0)
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)
    liveness.on_backend_packet(now=0.9)

    liveness.on_probe_outcome(ProbeOutcome.REFUSED, now=1.0)

    assert not liveness.is_down()


def test_a_backend_server_is_probed_until_it_listens_and_while_it_seems_gone() -> None:
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


def test_payload_without_any_reaction_has_the_backend_server_probed() -> None:
    liveness = BackendLiveness()
    liveness.on_probe_outcome(ProbeOutcome.ACCEPTED, now=0.0)
    liveness.on_payload(now=1.0)
    liveness.on_payload(now=1.2)

    assert not liveness.needs_probe(now=1.3)
    assert liveness.needs_probe(now=1.5)
    liveness.on_backend_packet(now=1.5)
    assert not liveness.needs_probe(now=2.0)
