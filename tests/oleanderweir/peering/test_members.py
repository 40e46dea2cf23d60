from __future__ import annotations

import trio
import trio.testing

from oleanderweir.peering import Members
from oleanderweir.peering.members import MEMBER_LEASE_S
from tests.oleanderweir.peering.heartbeat_bench import PEER
from tests.oleanderweir.peering.heartbeat_bench import make_heartbeat


async def test_a_pause_of_this_process_ends_no_lease(
    autojump_clock: trio.testing.MockClock,
) -> None:
    members = Members(own_host="10.0.9.9")
    members.record_heartbeat(PEER, make_heartbeat())
    members.record_run()
    await trio.sleep(MEMBER_LEASE_S + 1.0)
    members.record_run()

    members.expire()

    assert PEER in members.members


async def test_a_silent_member_is_dropped(
    autojump_clock: trio.testing.MockClock,
) -> None:
    members = Members(own_host="10.0.9.9")
    members.record_heartbeat(PEER, make_heartbeat())
    for _ in range(40):
        members.record_run()
        await trio.sleep(0.2)

    members.expire()

    assert PEER not in members.members
