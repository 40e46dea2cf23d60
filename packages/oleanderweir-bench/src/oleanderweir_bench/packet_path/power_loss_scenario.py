"""Runs a loss of all power in virtual time, and measures its lookups."""

from __future__ import annotations

import random

import trio

from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path.lookup_watch import LookupWatch
from oleanderweir_bench.packet_path.patient_caller import MAX_PAUSE_S
from oleanderweir_bench.packet_path.patient_caller import RECOVERY_S
from oleanderweir_bench.packet_path.patient_caller import PatientCaller
from oleanderweir_bench.packet_path.power_loss import PowerLoss
from oleanderweir_bench.packet_path.power_loss_result import PowerLossResult
from oleanderweir_bench.packet_path.site_start import start_site


def run_power_loss(
    *, seed: int, agents: int = 40, balancers: int = 5, callers: int = 100
) -> PowerLossResult:
    """Let all power fail once, and wait until all lost flows must have been reset."""

    async def simulate() -> PowerLossResult:
        async with trio.open_nursery() as nursery:
            site = await start_site(
                nursery=nursery,
                seed=seed,
                agents=agents,
                balancers=balancers,
                callers=callers,
                caller_type=PatientCaller,
            )
            watch = LookupWatch(network=site.network, codec=site.codec)
            power = PowerLoss(site=site, random_source=random.Random(seed))
            watch.start(site.backends.find_open_flows())
            lost_at = trio.current_time()
            power.stop_all()
            await power.start_all()
            back_at = trio.current_time()
            await trio.sleep_until(lost_at + MAX_PAUSE_S)
            with trio.move_on_after(RECOVERY_S):
                await watch.wait_until_reset()
            nursery.cancel_scope.cancel()
        return PowerLossResult(
            agents=agents,
            back_at=back_at,
            looked_up=watch.find_looked_up(),
            datagrams=watch.datagrams,
            datagram_bytes=watch.datagram_bytes,
            site=site.result,
        )

    return run_in_virtual_time(simulate, seed=seed)
