"""Outages of the store during which entries of sound backend servers lapse."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# Shares of the backend servers whose entries lapse in one outage after the other.
LAPSING_SHARES = (0.25, 0.75, 1.0)
# Within this time of the first, the other entries lapse too.
LAPSE_SPREAD_S = 1.0
MIN_MISSING_S = 3.0
MAX_MISSING_S = 6.0
# Time between two outages.
RECOVERED_S = 1.0


class StoreOutage:
    """
    Lets the entries of backend servers lapse that run, hold flows and serve them.

    First some of the entries are missing for seconds, then most, then all of them.
    """

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source

    async def run(self) -> None:
        """Let the store be away several times; return once all entries are back."""
        for share in LAPSING_SHARES:
            hosts = list(self.site.agent_hosts)
            chosen = self.random_source.sample(hosts, round(share * len(hosts)))
            async with trio.open_nursery() as nursery:
                for host in chosen:
                    nursery.start_soon(self._lapse, host)
            await trio.sleep(RECOVERED_S)

    async def _lapse(self, host: str) -> None:
        await trio.sleep(self.random_source.uniform(0.0, LAPSE_SPREAD_S))
        records = self.site.published.records
        # The backend server counts what it writes, and goes on during the outage.
        sequence = records[host].sequence + 1
        records[host] = attrs.evolve(records[host], sequence=sequence)
        missing_s = self.random_source.uniform(MIN_MISSING_S, MAX_MISSING_S)
        await self.site.lapse(host, missing_s)
