from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio
import trio.testing

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.packet_path import EmulatedBackendServer
from oleanderweir_bench.packet_path import EmulatedPacketCodec
from oleanderweir_bench.packet_path import VirtualNetwork
from oleanderweir_bench.packet_path import encode_packet
from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.soak import SoakPlan
from oleanderweir_bench.soak.soak import Soak
from oleanderweir_bench.soak.soak_backend import SoakBackend
from oleanderweir_bench.soak.soak_process import SoakProcess
from oleanderweir_bench.soak.soak_site import DRAIN_PROPAGATION_S
from oleanderweir_bench.soak.soak_site import FAULT_FREE_S
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.soak_site import FEED_ROUTE
from oleanderweir_bench.soak.soak_site import SoakSite


if TYPE_CHECKING:
    from pathlib import Path


HOST = "127.16.2.1"
SHORT_S = 1.0
LONG_S = 60.0


async def short_fault(site: SoakSite, random_source: random.Random) -> None:
    await trio.sleep(SHORT_S)


async def long_fault(site: SoakSite, random_source: random.Random) -> None:
    await trio.sleep(LONG_S)


async def test_openings_at_a_draining_server_count_only_after_the_last_fault(
    autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with ProcessSupervisor() as supervisor, trio.open_nursery() as nursery:
        site = SoakSite(
            plan=SoakPlan(seed=1),
            nursery=nursery,
            supervisor=supervisor,
            folder=tmp_path,
            block=16,
        )
        backend = create_backend(site, nursery, supervisor, tmp_path)
        site.backends.append(backend)
        soak = Soak(plan=site.plan, site=site)
        nursery.start_soon(soak.run_fault, long_fault, random.Random(1))
        await soak.run_fault(short_fault, random.Random(1))

        await open_flow_while_draining(site, backend)

        assert site.result.late_openings == 0

        await trio.sleep(LONG_S)
        await open_flow_while_draining(site, backend)

        assert site.result.late_openings == 1


async def open_flow_while_draining(site: SoakSite, backend: SoakBackend) -> None:
    """Open a flow after the drain of its backend server must be known everywhere."""
    await trio.sleep(FAULT_FREE_S + 0.1)
    backend.drained_at = trio.current_time()
    await trio.sleep(DRAIN_PROPAGATION_S + 0.1)
    caller = bytes([127, 16, 100, 1]) + (1024).to_bytes(2, "big")
    key = make_flow_key(caller=caller, route=FEED_ROUTE)
    packet = EmulatedPacketCodec().decode_from_caller(
        encode_packet(key, is_opening=True)
    )
    assert packet is not None
    site.check_opening(HOST, packet)


def create_backend(
    site: SoakSite, nursery: trio.Nursery, supervisor: ProcessSupervisor, folder: Path
) -> SoakBackend:
    server = EmulatedBackendServer(
        service=FEED,
        host=HOST,
        port=8080,
        agent=(HOST, 8162),
        slots=4,
        mean_service_time_s=0.03,
        network=VirtualNetwork(nursery=nursery, random_source=random.Random(1)),
        codec=EmulatedPacketCodec(),
        result=site.result,
        random_source=random.Random(1),
    )
    agent = SoakProcess(
        host=HOST,
        module="",
        settings=folder / "settings.json",
        store_port=0,
        supervisor=supervisor,
    )
    return SoakBackend(server=server, agent=agent, store=site.store, identifier=HOST)
