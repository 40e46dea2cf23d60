from __future__ import annotations

from oleanderweir_agent.forwarding import LoadMeter


def test_a_backend_server_that_answers_no_opening_is_silent() -> None:
    meter = LoadMeter(slots=4)
    meter.note_opening(now=0.0)

    assert not meter.is_silent(now=0.4)
    assert meter.is_silent(now=0.6)


def test_any_packet_ends_the_silence() -> None:
    meter = LoadMeter(slots=4)
    meter.note_opening(now=0.0)

    meter.note_sign_of_life()

    assert not meter.is_silent(now=0.6)


def test_a_silent_backend_server_is_tried_again_after_a_while() -> None:
    meter = LoadMeter(slots=4)
    meter.note_opening(now=0.0)
    assert meter.is_silent(now=1.4)

    assert not meter.is_silent(now=1.6)

    meter.note_opening(now=1.6)
    assert meter.is_silent(now=2.2)
