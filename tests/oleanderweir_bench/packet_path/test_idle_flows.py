from __future__ import annotations

import random

import trio

from oleanderweir.flows import make_flow_key
from oleanderweir.lookups import MAX_DIRECT_QUERIES
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path import EmulatedCaller
from oleanderweir_bench.packet_path import EmulatedSite
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import ROUTE


KEY = make_flow_key(
    caller=bytes([100, 64, 0, 1]) + (1025).to_bytes(2, "big"), route=ROUTE
)


async def look_up_idle_flow_twice() -> EmulatedSite:
    """Look up a flow while an agent starts, and again after a pause of its caller."""
    async with trio.open_nursery() as nursery:
        site = EmulatedSite(
            nursery=nursery, seed=1, balancers=3, backends=MAX_DIRECT_QUERIES + 5
        )
        caller = EmulatedCaller(
            host="100.64.0.1",
            route=ROUTE,
            port=CALLER_PORT,
            balancer_port=CALLER_PORT,
            network=site.network,
            router=site.router,
            codec=site.codec,
            result=site.result,
            holds_flow=site.backends.holds_flow,
            random_source=random.Random(1),
        )
        first, second, third = site.balancer_hosts
        site.router.hosts = [first]
        await caller._request()
        others = [h for h in site.agent_hosts if h != site.backends.find_owner(KEY)]
        starting = others[:3]
        for host in starting:
            site.stop_agent(host)
            site.bind_agent(host)
        site.router.hosts = [second]
        await caller._request()
        await trio.sleep(0.5)
        for host in starting:
            site.start_agent(host)
        for host in others[3:]:
            site.stop_agent(host)
            site.start_agent(host)
        await trio.sleep(3.0)
        site.router.hosts = [third]
        await caller._request()
        nursery.cancel_scope.cancel()
    return site


def test_queries_that_waited_for_an_agent_to_start_reach_no_backend_server() -> None:
    site = run_in_virtual_time(look_up_idle_flow_twice, seed=1)

    assert site.result.in_time == 3
    assert site.result.stray_flows == 0
    assert site.backends.stray_packets.packets == {}
