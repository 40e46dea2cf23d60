"""Sites of a soak whose processes are not started."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.packet_path import EmulatedBackendServer
from oleanderweir_bench.packet_path import EmulatedPacketCodec
from oleanderweir_bench.packet_path import VirtualNetwork
from oleanderweir_bench.processes import ProcessSupervisor
from oleanderweir_bench.soak import SoakPlan
from oleanderweir_bench.soak.soak_backend import SoakBackend
from oleanderweir_bench.soak.soak_process import SoakProcess
from oleanderweir_bench.soak.soak_site import ARCHIVE
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.soak_site import SoakSite


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


BALANCER_HOST = "127.16.1.1"
BACKEND_HOST = "127.16.2.1"


@asynccontextmanager
async def open_site(folder: Path) -> AsyncIterator[SoakSite]:
    """Yield a site with published routes and one balancer, which is not started."""
    async with ProcessSupervisor() as supervisor, trio.open_nursery() as nursery:
        site = SoakSite(
            plan=SoakPlan(seed=1),
            nursery=nursery,
            supervisor=supervisor,
            folder=folder,
            block=16,
        )
        site.publish_routes(ARCHIVE)
        site.published_at = trio.current_time()
        site.balancers.append(
            SoakProcess(
                host=BALANCER_HOST,
                module="",
                settings=folder / f"{BALANCER_HOST}.json",
                store_port=await site.store.listen("127.0.0.1"),
                supervisor=supervisor,
            )
        )
        yield site
        nursery.cancel_scope.cancel()


def add_backend(site: SoakSite) -> SoakBackend:
    """Add a backend server in a virtual network, with an agent that isn't started."""
    server = EmulatedBackendServer(
        service=FEED,
        host=BACKEND_HOST,
        port=8080,
        agent=(BACKEND_HOST, 8162),
        slots=4,
        mean_service_time_s=0.03,
        network=VirtualNetwork(nursery=site.nursery, random_source=random.Random(1)),
        codec=EmulatedPacketCodec(),
        result=site.result,
        random_source=random.Random(1),
    )
    agent = SoakProcess(
        host=BACKEND_HOST,
        module="",
        settings=site.folder / f"{BACKEND_HOST}.json",
        store_port=0,
        supervisor=site.supervisor,
    )
    backend = SoakBackend(
        server=server, agent=agent, store=site.store, identifier=BACKEND_HOST
    )
    site.backends.append(backend)
    return backend
