from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import Topic
from tests.oleanderweir.desired_state.fakes import apply_orders
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.desired_state.fakes import order_change
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import HeartbeatSenderBench
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation


async def test_a_confirmation_proves_nothing_until_its_order_was_fetched(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench, peer = HeartbeatSenderBench(), make_register()
    for register in (bench.register, peer):
        publish(register, version=3, revision=10)
    freshness = bench.heartbeat_sender.confirmations.freshness

    for revision, document in ((11, b"{}"), (12, None)):
        apply_orders(peer, order_change("a", revision=revision, document=document))
        bench.client.listing = peer.export(Topic.DESIRED_STATE)
        bench.client.requests.clear()
        confirmation = make_confirmation(
            desired_version=3, backends_revision=10, evacuations_revision=revision
        )
        for is_known in (False, True):
            freshness.forget()
            async with trio.open_nursery() as nursery:
                bench.heartbeat_sender.on_confirmation(PEER, confirmation, nursery)
                assert freshness.is_proved_within(1.0) is is_known

        assert bench.register.is_evacuated("a") is (document is not None)
        assert bench.client.requests == [(PEER, Topic.DESIRED_STATE)]
