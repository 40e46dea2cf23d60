"""What a soak does to a site; every fault is over when its function returns."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import BackendState
from oleanderweir_bench.soak.soak_site import ARCHIVE
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_standins import StoreCondition


if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from oleanderweir_bench.soak.soak_backend import SoakBackend
    from oleanderweir_bench.soak.soak_process import SoakProcess
    from oleanderweir_bench.soak.soak_site import SoakSite

    Fault = Callable[[SoakSite, random.Random], Awaitable[None]]


# Three heartbeats of a backend server, after which its entry lapses.
LAPSE_S = 2.3
# A backend server that leaves goes on for this long after it said so.
LEAVING_S = 3.5


async def kill_process(site: SoakSite, draw: random.Random) -> None:
    """Kill one process; it starts again soon."""
    await _kill([draw.choice(site.processes)], draw.uniform(0.1, 1.5))


async def kill_everything(site: SoakSite, draw: random.Random) -> None:
    """Kill all processes at once; the backend servers live on."""
    await _kill(site.processes, draw.uniform(0.1, 1.5))


async def stop_process(site: SoakSite, draw: random.Random) -> None:
    """Ask one balancer to end, and start it again."""
    process = draw.choice(site.balancers)
    if process.is_wanted:
        await process.terminate()
        await process.start()


async def pause_process(site: SoakSite, draw: random.Random) -> None:
    """Let one process stand still for a while."""
    process = draw.choice(site.processes)
    running = process.running
    if running is None:
        return
    running.freeze()
    await trio.sleep(draw.uniform(0.3, 3.0))
    running.thaw()


async def reload_settings(site: SoakSite, draw: random.Random) -> None:
    """Change the order of the seeds, with a signal or without."""
    process = draw.choice(site.processes)
    site.write_settings(process)
    if process.running is not None and process.is_wanted and draw.random() < 0.5:
        process.running.send(signal.SIGHUP)


async def trouble_store(site: SoakSite, draw: random.Random) -> None:
    """Serve some or all processes badly for a while."""
    conditions = [it for it in StoreCondition if it is not StoreCondition.SERVING]
    condition = draw.choice(conditions)
    share = draw.choice((0.4, 1.0))
    ports = [it.store_port for it in site.processes if draw.random() < share]
    for port in ports:
        site.store.conditions[port] = condition
    await trio.sleep(draw.uniform(1.0, 4.0))
    for port in ports:
        site.store.conditions[port] = StoreCondition.SERVING


async def forget_history(site: SoakSite, draw: random.Random) -> None:
    """Let the store forget what watches continue from."""
    del draw
    site.store.compact_history()


async def lose_packets(site: SoakSite, draw: random.Random) -> None:
    """Lose a part of what goes to one host, or all of it."""
    host = draw.choice(site.processes).host
    site.network.lossy[host] = draw.choice((0.05, 0.3, 1.0))
    await trio.sleep(draw.uniform(0.5, 3.0))
    site.network.lossy.pop(host, None)


async def delay_packets(site: SoakSite, draw: random.Random) -> None:
    """Let what goes to one host arrive late."""
    host = draw.choice(site.processes).host
    site.network.delayed_s[host] = draw.uniform(0.02, 0.4)
    await trio.sleep(draw.uniform(0.5, 3.0))
    site.network.delayed_s.pop(host, None)


async def crash_backend(site: SoakSite, draw: random.Random) -> None:
    """Crash one backend server; it starts again under its name."""
    backend = _take_backend(site, draw)
    if backend is None:
        return
    backend.crash()
    down_s = draw.uniform(0.3, 5.0)
    await trio.sleep(min(down_s, LAPSE_S))
    if down_s > LAPSE_S:
        backend.lapse()
        await trio.sleep(down_s - LAPSE_S)
    backend.start_again()
    backend.is_taken = False


async def replace_backend(site: SoakSite, draw: random.Random) -> None:
    """Let one backend server leave, and another start at its address."""
    backend = _take_backend(site, draw)
    if backend is None:
        return
    await leave(backend)
    await trio.sleep(draw.uniform(0.2, 2.0))
    backend.replace()
    await backend.agent.start()
    backend.is_taken = False


async def move_route(site: SoakSite, draw: random.Random) -> None:
    """Let one route lead to another service."""
    site.publish_routes(draw.choice((FEED, ARCHIVE)))


async def leave(backend: SoakBackend) -> None:
    """Drain a backend server, then end it and its agent."""
    backend.drained_at = trio.current_time()
    backend.publish(BackendState.DRAINING)
    await trio.sleep(LEAVING_S)
    backend.crash()
    backend.lapse()
    await backend.agent.terminate()


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


def _take_backend(site: SoakSite, draw: random.Random) -> SoakBackend | None:
    """Return a backend server of the feed that no other fault has in hand."""
    free = [it for it in site.backends if not it.is_taken and it.server.service == FEED]
    # One of the feed's backend servers is always left alone.
    if len(free) < 2:
        return None
    backend = draw.choice(free)
    backend.is_taken = True
    return backend


async def _kill(processes: list[SoakProcess], down_s: float) -> None:
    killed = [process for process in processes if process.is_wanted]
    for process in killed:
        process.kill()
    await trio.sleep(down_s)
    for process in killed:
        if not process.is_wanted:
            await process.start()
