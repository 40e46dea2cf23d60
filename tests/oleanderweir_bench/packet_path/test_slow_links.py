"""Large requests over slow links while something fails halfway."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path import UploadingCaller
from oleanderweir_bench.packet_path.emulated_caller import REQUEST_TIMEOUT_S
from oleanderweir_bench.packet_path.site_start import start_site
from oleanderweir_bench.packet_path.uploading_caller import LAST_PACKET_BYTES


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite
    from oleanderweir_bench.packet_path.site_result import SiteResult


UPLOADERS = 6
# Emulated packets have no bytes of payload: a link takes some hundred a second.
LINK_MBPS = 0.1
ROUNDS = 6
POLL_S = 0.002
TRAFFIC_S = 12.0


class LossyCaller(UploadingCaller):
    """Loses the last packet of each request, but no copy of it."""

    lost_of = 0

    def _send(self, *, payload_bytes: int = 0, **fields: Any) -> None:
        if payload_bytes == LAST_PACKET_BYTES and self.lost_of != self.request_end:
            self.lost_of = self.request_end
            return
        super()._send(payload_bytes=payload_bytes, **fields)


async def disturb_nothing(site: EmulatedSite) -> None:
    del site
    await trio.sleep(TRAFFIC_S / 2)


async def restart_balancers_with_queues(site: EmulatedSite) -> None:
    for _ in range(ROUNDS):
        while not (hosts := find_queueing(site)):
            await trio.sleep(POLL_S)
        site.stop_balancer(hosts[0])
        await trio.sleep(0.1)
        site.start_balancer(hosts[0])


async def restart_agents_in_transfers(site: EmulatedSite) -> None:
    for _ in range(ROUNDS):
        while not (hosts := find_receiving(site)):
            await trio.sleep(POLL_S)
        site.stop_agent(hosts[0])
        await trio.sleep(0.1)
        site.start_agent(hosts[0])


def find_queueing(site: EmulatedSite) -> list[str]:
    """Return the balancers whose queue holds packets of large requests."""
    balancers = site.balancer_processes.running.items()
    return [host for host, balancer in balancers if balancer.transport.send_queue]


def find_receiving(site: EmulatedSite) -> list[str]:
    """Return the agents that a request of several packets is arriving at."""
    agents = site.agents.items()
    return [
        host for host, running in agents if running.agent.dispatcher.meter.receiving
    ]


def run(
    disturb: Callable[[EmulatedSite], Awaitable[None]],
    caller_type: type[UploadingCaller],
    *,
    seed: int,
) -> tuple[SiteResult, list[bool], int]:
    """Return the results, which agents are still busy, and packets still queued."""

    async def simulate() -> tuple[SiteResult, list[bool], int]:
        async with trio.open_nursery() as nursery:
            site = await start_site(
                nursery=nursery,
                seed=seed,
                agents=3,
                balancers=2,
                callers=0,
                caller_type=caller_type,
            )
            site.balancer_processes.link_mbps = LINK_MBPS
            for host in site.balancer_hosts:
                site.stop_balancer(host)
                site.start_balancer(host)
            await trio.sleep(2.0)
            ends_at = trio.current_time() + TRAFFIC_S
            site.start_callers(UPLOADERS, until=ends_at, caller_type=caller_type)
            with trio.fail_after(TRAFFIC_S):
                await disturb(site)
            await trio.sleep_until(ends_at + 2 * REQUEST_TIMEOUT_S)
            agents = site.agents.values()
            busy = [running.agent.dispatcher.is_busy for running in agents]
            balancers = site.balancer_processes.running.values()
            queued = sum(len(b.transport.send_queue or ()) for b in balancers)
            nursery.cancel_scope.cancel()
        return site.result, busy, queued

    return run_in_virtual_time(simulate, seed=seed)


# Failures: the last packet of each request is lost, a balancer restarts while its queue
# holds packets, an agent restarts while a request arrives.
@pytest.mark.parametrize(
    ("disturb", "caller_type"),
    [
        (disturb_nothing, LossyCaller),
        (restart_balancers_with_queues, UploadingCaller),
        (restart_agents_in_transfers, UploadingCaller),
        (restart_agents_in_transfers, LossyCaller),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_fails_halfway_repeats_no_request_and_holds_no_slot(
    seed: int,
    disturb: Callable[[EmulatedSite], Awaitable[None]],
    caller_type: type[UploadingCaller],
) -> None:
    result, busy, queued = run(disturb, caller_type, seed=seed)

    assert result.violations == 0
    assert result.served > UPLOADERS * ROUNDS
    assert result.failed == 0
    assert busy == [False] * 3
    assert queued == 0
