from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from oleanderweir.peering.messages import Heartbeat
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.desired_state.fakes import withdrawal_change
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister


def make_bench() -> tuple[HeartbeatSenderBench, StateRegister]:
    """Return a process and the register of a peer, both without evacuations."""
    bench, peer = HeartbeatSenderBench(), make_register()
    for register in (bench.register, peer):
        publish(register, version=3, revision=10)
    return bench, peer


async def hear_from(bench: HeartbeatSenderBench, peer: StateRegister) -> None:
    """Receive a heartbeat of the peer, and fetch its state if it is newer."""
    bench.client.listing = peer.export(Topic.DESIRED_STATE)
    heartbeat = make_heartbeat(
        desired_version=peer.version,
        backends_revision=peer.changed_revision(Topic.BACKEND_SERVERS),
        evacuations_revision=peer.evacuations_revision,
    )
    async with trio.open_nursery() as nursery:
        bench.heartbeat_sender.on_heartbeat(PEER, heartbeat, nursery)


async def test_an_order_and_its_withdrawal_are_fetched_once_from_a_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench, peer = make_bench()
    await hear_from(bench, peer)
    assert bench.client.requests == []

    apply_orders(peer, order_change("a", revision=11))
    for _ in range(3):
        await hear_from(bench, peer)
    assert bench.register.is_evacuated("a")
    assert len(bench.client.requests) == 1

    apply_orders(peer, withdrawal_change("a", revision=12))
    for _ in range(3):
        await hear_from(bench, peer)
    assert not bench.register.is_evacuated("a")
    assert len(bench.client.requests) == 2


async def test_heartbeats_tell_the_newest_order() -> None:
    bench, _ = make_bench()
    apply_orders(bench.register, order_change("a", revision=11))

    bench.heartbeat_sender.on_heartbeat(
        PEER,
        make_heartbeat(),
        nursery=None,  # type: ignore[arg-type]
    )

    heartbeats = [m for m in bench.pop_messages(PEER) if isinstance(m, Heartbeat)]
    assert heartbeats[-1].evacuations_revision == 11


async def test_a_confirmation_proves_nothing_to_a_process_without_its_order(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench, _ = make_bench()
    confirmations = bench.heartbeat_sender.confirmations
    confirmation = make_confirmation(
        desired_version=3, backends_revision=10, evacuations_revision=11
    )

    confirmations.on_confirmation(PEER, confirmation)
    assert not confirmations.freshness.is_proved_within(1.0)

    apply_orders(bench.register, order_change("a", revision=11))
    confirmations.on_confirmation(PEER, confirmation)
    assert confirmations.freshness.is_proved_within(1.0)
