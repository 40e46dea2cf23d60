from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from oleanderweir_bench.soak.faults import reload_settings
from oleanderweir_bench.soak.faults import restore_store
from oleanderweir_bench.soak.soak_site import FEED
from oleanderweir_standins import StoreCondition
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir_bench.soak.soak_site import SoakSite


# Longer than the greatest age of a copy.
LONG_S = 30.0
# Ignores SIGHUP some time after its start, as if its interpreter started slowly.
SLOW_PROGRAM = """
import signal, time
time.sleep(0.2)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
print("ignored", flush=True)
signal.pause()
"""


class SignallingRandom(random.Random):
    """Draws the reload of the settings with a signal."""

    def random(self) -> float:
        return 0.0


async def test_changed_settings_do_not_end_a_process_before_its_first_statement(
    tmp_path: Path,
) -> None:
    async with open_site(tmp_path) as site:
        [process] = site.processes
        process.running = await site.supervisor.start(
            "balancer", [sys.executable, "-c", SLOW_PROGRAM]
        )
        process.should_run = True

        await reload_settings(site, SignallingRandom())

        await process.running.wait_line("ignored")
        assert not process.has_exited_unexpectedly


@pytest.mark.parametrize("seed", range(5))
async def test_a_restored_store_has_the_newest_routes_when_the_fault_has_ended(
    seed: int, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site:
        await trio.sleep(LONG_S)
        site.publish_routes(FEED)
        newest = newest_document(site)

        await restore_store(site, random.Random(seed))

        assert site.store.contents.era == 2
        assert newest_document(site) == newest
        assert set(site.store.conditions.values()) == {StoreCondition.SERVING}


@pytest.mark.parametrize("seed", range(5))
async def test_a_store_is_not_restored_to_a_time_before_the_first_routes(
    seed: int, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    async with open_site(tmp_path) as site, trio.open_nursery() as nursery:
        await trio.sleep(0.5)
        site.publish_routes(FEED)

        nursery.start_soon(restore_store, site, random.Random(seed))
        while site.store.contents.era == 1:
            await trio.sleep(0.001)

        assert newest_document(site) is not None


def newest_document(site: SoakSite) -> object:
    """Return the only document of a site without backend servers."""
    [entry] = site.store.contents.entries.values()
    return entry["Value"]
