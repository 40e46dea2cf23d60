"""Random faults of the network between the hosts of a site."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_bench.packet_path.link_faults import LinkFaults


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


class NetworkFaults:
    """Cuts hosts off from each other and disturbs links; they overlap all faults."""

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source

    async def cut(self) -> None:
        """Cut two hosts off from each other."""
        hosts = [*self.site.balancer_hosts, *self.site.agent_hosts]
        pair = self.random_source.sample(hosts, 2)
        with self.site.faults.fault(*pair):
            self.site.network.cuts.add(frozenset(pair))
            await trio.sleep(self.random_source.uniform(0.1, 3.0))
            self.site.network.cuts.discard(frozenset(pair))

    async def disturb_links(self) -> None:
        """Lose, duplicate and reorder datagrams between all hosts."""
        faults = LinkFaults(
            loss_rate=self.random_source.uniform(0.0, 0.02),
            duplicate_rate=self.random_source.uniform(0.0, 0.05),
            late_rate=self.random_source.uniform(0.0, 0.3),
            max_delay_s=self.random_source.uniform(0.0, 0.15),
        )
        self.site.network.link_faults = faults
        await trio.sleep(self.random_source.uniform(0.2, 3.0))
        if self.site.network.link_faults is faults:
            self.site.network.link_faults = None
