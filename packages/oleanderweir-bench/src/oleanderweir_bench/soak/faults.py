"""Faults that a soak injects; each fault has ended when its function returns."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import BackendState
from oleanderweir_bench.soak.soak_site import ARCHIVE
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_bench.soak.soak_site import ZONES
from oleanderweir_bench.soak.store_faults import forget_history
from oleanderweir_bench.soak.store_faults import restore_store
from oleanderweir_bench.soak.store_faults import trouble_store
from oleanderweir_standins import LEASE_S


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.soak.soak_backend import SoakBackend
    from oleanderweir_bench.soak.soak_process import SoakProcess
    from oleanderweir_bench.soak.soak_site import SoakSite

    Fault = Callable[[SoakSite, random.Random], Awaitable[None]]


# Time that a backend server keeps running after it has announced that it drains.
DRAIN_PERIOD_S = 3.5
# Time within which a process that runs must handle SIGHUP.
HANDLER_TIMEOUT_S = 5.0
# Share of the evacuations during which the store is restored from an older copy.
RESTORE_SHARE = 0.3


async def kill_process(site: SoakSite, random_source: random.Random) -> None:
    """Kill one process and restart it after a short time."""
    await _kill([random_source.choice(site.processes)], random_source.uniform(0.1, 1.5))


async def kill_everything(site: SoakSite, random_source: random.Random) -> None:
    """Kill and restart all processes at once; the backend servers keep running."""
    await _kill(site.processes, random_source.uniform(0.1, 1.5))


async def stop_process(site: SoakSite, random_source: random.Random) -> None:
    """Terminate one balancer gracefully and restart it."""
    process = random_source.choice(site.balancers)
    if process.should_run:
        await process.terminate()
        await process.start()


async def pause_process(site: SoakSite, random_source: random.Random) -> None:
    """Suspend one process temporarily."""
    process = random_source.choice(site.processes)
    running = process.running
    if running is None:
        return
    running.freeze()
    await trio.sleep(random_source.uniform(0.3, 3.0))
    running.thaw()


async def reload_settings(site: SoakSite, random_source: random.Random) -> None:
    """Rewrite settings with the seeds in another order, with SIGHUP or without."""
    process = random_source.choice(site.processes)
    site.write_settings(process)
    if (
        process.running is not None
        and process.should_run
        and random_source.random() < 0.5
    ):
        await process.running.send_once_handled(signal.SIGHUP, HANDLER_TIMEOUT_S)


async def lose_packets(site: SoakSite, random_source: random.Random) -> None:
    """Drop some or all packets to one host temporarily."""
    host = random_source.choice(site.processes).host
    site.network.loss_probabilities[host] = random_source.choice((0.05, 0.3, 1.0))
    await trio.sleep(random_source.uniform(0.5, 3.0))
    site.network.loss_probabilities.pop(host, None)


async def delay_packets(site: SoakSite, random_source: random.Random) -> None:
    """Delay packets to one host temporarily."""
    host = random_source.choice(site.processes).host
    site.network.delays_s[host] = random_source.uniform(0.02, 0.4)
    await trio.sleep(random_source.uniform(0.5, 3.0))
    site.network.delays_s.pop(host, None)


async def crash_backend(site: SoakSite, random_source: random.Random) -> None:
    """Crash one backend server and restart it under the same identifier."""
    backend = _reserve_backend(site, random_source)
    if backend is None:
        return
    backend.crash()
    down_s = random_source.uniform(0.3, 5.0)
    await trio.sleep(min(down_s, LEASE_S))
    if down_s > LEASE_S:
        backend.expire_lease()
        await trio.sleep(down_s - LEASE_S)
    backend.restart()
    backend.is_reserved = False


async def replace_backend(site: SoakSite, random_source: random.Random) -> None:
    """Drain and stop one backend server, then start another at its address."""
    backend = _reserve_backend(site, random_source)
    if backend is None:
        return
    await drain_and_stop(backend)
    await trio.sleep(random_source.uniform(0.2, 2.0))
    backend.replace()
    await backend.agent.start()
    backend.is_reserved = False


async def move_route(site: SoakSite, random_source: random.Random) -> None:
    """Point the moving route to one of the two services, chosen at random."""
    site.publish_routes(random_source.choice((FEED, ARCHIVE)))


async def evacuate_zone(site: SoakSite, random_source: random.Random) -> None:
    """Evacuate a zone for some time; the store may return from an older copy."""
    zone = random_source.choice(ZONES)
    is_restored = random_source.random() < RESTORE_SHARE
    if zone in site.evacuated_at:
        return
    site.order_evacuation(zone)
    if is_restored:
        site.active_faults.start()
        await restore_store(site, random_source)
        site.active_faults.end()
    await trio.sleep(random_source.uniform(0.5, 6.0))
    site.withdraw_evacuation(zone)


async def drain_and_stop(backend: SoakBackend) -> None:
    """Drain a backend server, then stop it and its agent."""
    backend.drained_at = trio.current_time()
    backend.publish(BackendState.DRAINING)
    await trio.sleep(DRAIN_PERIOD_S)
    backend.crash()
    backend.expire_lease()
    await backend.agent.terminate()


# The faults of which one is chosen each time. A restore of the store is chosen
# separately, so that the other faults of a seed stay the same.
FAULTS: tuple[Fault, ...] = (
    kill_process,
    kill_everything,
    stop_process,
    pause_process,
    reload_settings,
    trouble_store,
    forget_history,
    lose_packets,
    delay_packets,
    crash_backend,
    replace_backend,
    move_route,
)


def _reserve_backend(
    site: SoakSite, random_source: random.Random
) -> SoakBackend | None:
    """Reserve a backend server of the feed that no other fault uses, or return None."""
    unreserved = [
        backend
        for backend in site.backends
        if not backend.is_reserved and backend.server.service == FEED
    ]
    # At least one backend server of the feed always keeps running.
    if len(unreserved) < 2:
        return None
    backend = random_source.choice(unreserved)
    backend.is_reserved = True
    return backend


async def _kill(processes: list[SoakProcess], down_s: float) -> None:
    killed = [process for process in processes if process.should_run]
    for process in killed:
        process.kill()
    await trio.sleep(down_s)
    for process in killed:
        if not process.should_run:
            await process.start()
