from __future__ import annotations

import random
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

from oleanderweir.desired_state import ReaderStatus
from oleanderweir.event_log import EventCounters
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.net import SocketAddress
from oleanderweir.packet_process import ProcessAddresses
from oleanderweir.packet_process import ProcessRuntime
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.flows.fakes import FakeSocket


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.desired_state import StateSource
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import HeartbeatSender


ADDRESS = SocketAddress(host="127.0.0.1", port=1)


def make_runtime(read_seeds: Callable[[], tuple[str, ...]]) -> ProcessRuntime:
    heartbeat_sender = SimpleNamespace(
        seeds=("10.0.0.1",),
        status=ReaderStatus(),
        on_source_response=lambda topic, proved_at: None,
        reader_choice=SimpleNamespace(),
    )
    return ProcessRuntime(
        addresses=ProcessAddresses(
            peer=ADDRESS,
            readiness=ADDRESS,
            readiness_path="/ready",
            metrics=ADDRESS,
            metrics_path="/metrics",
        ),
        source=cast("StateSource", None),
        register=make_register(),
        peer_socket=cast("UdpSocket", FakeSocket()),
        heartbeat_sender=cast("HeartbeatSender", heartbeat_sender),
        counters=EventCounters(),
        read_seeds=read_seeds,
        random_source=random.Random(1),
    )


def test_a_reload_applies_new_seeds() -> None:
    runtime = make_runtime(lambda: ("10.0.0.2",))

    runtime.reload()

    assert runtime.heartbeat_sender.seeds == ("10.0.0.2",)


def test_a_failed_reload_keeps_the_previous_seeds() -> None:
    def fail() -> tuple[str, ...]:
        raise OleanderweirError("field Seeds is of another type")

    runtime = make_runtime(fail)

    runtime.reload()

    assert runtime.heartbeat_sender.seeds == ("10.0.0.1",)


def test_a_lost_watch_interrupts_the_watches_of_all_topics() -> None:
    runtime = make_runtime(tuple)

    runtime.followers[0].on_watch_lost()

    assert all(follower.is_interrupted for follower in runtime.followers)
