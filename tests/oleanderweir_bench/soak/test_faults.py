from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING

from oleanderweir_bench.soak.faults import reload_settings
from tests.oleanderweir_bench.soak.unstarted_site import open_site


if TYPE_CHECKING:
    from pathlib import Path


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
