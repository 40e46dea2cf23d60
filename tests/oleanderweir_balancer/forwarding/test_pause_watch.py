from __future__ import annotations

import pytest

from oleanderweir_balancer.forwarding.pause_watch import STARTUP_S
from oleanderweir_balancer.forwarding.pause_watch import TICK_INTERVAL_S
from oleanderweir_balancer.forwarding.pause_watch import PauseWatch


class ManualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_watch() -> tuple[PauseWatch, ManualClock]:
    """Return a watch of a process that has read its socket empty."""
    clock = ManualClock()
    watch = PauseWatch(clock=clock)
    watch.on_read(is_empty=True)
    return watch, clock


def run(watch: PauseWatch, clock: ManualClock, *, ticks: int) -> None:
    for _ in range(ticks):
        clock.now += TICK_INTERVAL_S
        watch.tick()


def test_packets_that_came_before_the_first_read_may_have_waited() -> None:
    watch = PauseWatch(clock=ManualClock())

    assert watch.on_read(is_empty=True) == pytest.approx(STARTUP_S)
    assert watch.on_read(is_empty=True) == 0.0


def test_packets_of_a_running_process_have_not_waited() -> None:
    watch, clock = make_watch()
    run(watch, clock, ticks=20)

    assert watch.on_read(is_empty=True) == 0.0


@pytest.mark.parametrize("ticks_first", [True, False])
def test_packets_may_have_waited_since_the_process_last_ran(ticks_first: bool) -> None:
    watch, clock = make_watch()
    run(watch, clock, ticks=3)
    clock.now += 2.6
    if ticks_first:
        watch.tick()

    assert watch.on_read(is_empty=True) == pytest.approx(2.6)
    assert watch.on_read(is_empty=True) == 0.0


def test_packets_may_have_waited_until_the_socket_was_read_empty() -> None:
    watch, clock = make_watch()
    clock.now += 2.6

    assert watch.on_read(is_empty=False) == pytest.approx(2.6)
    run(watch, clock, ticks=1)
    assert watch.on_read(is_empty=False) == pytest.approx(2.6 + TICK_INTERVAL_S)
    run(watch, clock, ticks=1)
    assert watch.on_read(is_empty=True) > 2.6
    assert watch.on_read(is_empty=True) == 0.0


def test_a_pause_in_which_no_packet_came_makes_no_later_packet_old() -> None:
    watch, clock = make_watch()
    clock.now += 2.6
    run(watch, clock, ticks=2)

    assert watch.on_read(is_empty=True) == 0.0
