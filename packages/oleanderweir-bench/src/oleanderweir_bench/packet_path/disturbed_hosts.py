"""The hosts of a site that have a fault or a planned change."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# Backend servers of the service that may be left by removals.
MIN_BACKENDS = 3


class DisturbedHosts:
    """Reserves a random host for each fault, so that no host has two at once."""

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source
        self.busy_hosts: set[str] = set()

    def draw(self, least: float, most: float) -> float:
        """Return a random duration or share between two bounds."""
        return self.random_source.uniform(least, most)

    def reserve(self, hosts: list[str]) -> str | None:
        """Reserve and return a host without a fault; ``None`` if there is none."""
        free = [host for host in hosts if host not in self.busy_hosts]
        if not free:
            return None
        host = self.random_source.choice(free)
        self.busy_hosts.add(host)
        return host

    def reserve_removable(self) -> str | None:
        """Reserve and return a host whose backend server may be removed."""
        if len(self.busy_hosts & set(self.site.agent_hosts)) > 1:
            return None
        if len(self.site.agent_hosts) <= MIN_BACKENDS:
            return None
        return self.reserve(self.site.agent_hosts)

    def release(self, host: str) -> None:
        """Let a host have another fault."""
        self.busy_hosts.discard(host)
