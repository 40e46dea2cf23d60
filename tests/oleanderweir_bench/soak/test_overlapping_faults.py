from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path import EmulatedPacketCodec
from oleanderweir_bench.packet_path import encode_packet
from oleanderweir_bench.soak.soak import Soak
from oleanderweir_bench.soak.soak_site import DRAIN_PROPAGATION_S
from oleanderweir_bench.soak.soak_site import FAULT_FREE_S
from oleanderweir_bench.soak.soak_site import FEED_ROUTE
from tests.oleanderweir_bench.soak.unstarted_site import add_backend
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir_bench.soak.soak_backend import SoakBackend
    from oleanderweir_bench.soak.soak_site import SoakSite


SHORT_S = 1.0
LONG_S = 60.0


async def short_fault(site: SoakSite, random_source: random.Random) -> None:
    await trio.sleep(SHORT_S)


async def long_fault(site: SoakSite, random_source: random.Random) -> None:
    await trio.sleep(LONG_S)


async def test_openings_at_a_draining_server_count_only_after_the_last_fault(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site, trio.open_nursery() as nursery:
        backend = add_backend(site)
        soak = Soak(plan=site.plan, site=site)
        nursery.start_soon(soak.run_fault, long_fault, random.Random(1))
        await soak.run_fault(short_fault, random.Random(1))

        await open_flow_while_draining(site, backend)

        assert site.result.late_openings == 0

        await trio.sleep(LONG_S)
        await open_flow_while_draining(site, backend)

        assert site.result.late_openings == 1


async def test_openings_are_late_by_the_time_for_which_the_store_ran(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site, trio.open_nursery() as nursery:
        backend = add_backend(site)
        nursery.start_soon(site.stall_watch.run)
        await trio.sleep(FAULT_FREE_S)
        backend.drained_at = trio.current_time()

        # The process of the soak, and the store with it, gets no processor.
        autojump_clock.jump(DRAIN_PROPAGATION_S + 1.0)
        check_opening(site, backend)
        assert site.result.late_openings == 0

        await trio.sleep(DRAIN_PROPAGATION_S - 0.3)
        check_opening(site, backend)
        assert site.result.late_openings == 0

        await trio.sleep(0.6)
        check_opening(site, backend)
        assert site.result.late_openings == 1
        nursery.cancel_scope.cancel()


async def open_flow_while_draining(site: SoakSite, backend: SoakBackend) -> None:
    """Open a flow after the drain of its backend server must be known everywhere."""
    await trio.sleep(FAULT_FREE_S + 0.1)
    backend.drained_at = trio.current_time()
    await trio.sleep(DRAIN_PROPAGATION_S + 0.1)
    check_opening(site, backend)


def check_opening(site: SoakSite, backend: SoakBackend) -> None:
    """Let the site check a new flow at a backend server."""
    caller = bytes([127, 16, 100, 1]) + (1024).to_bytes(2, "big")
    key = make_flow_key(caller=caller, route=FEED_ROUTE)
    packet = EmulatedPacketCodec().decode_from_caller(
        encode_packet(key, is_opening=True)
    )
    assert packet is not None
    site.check_opening(backend.server.host, packet)
