"""Removes balancers that are not ready from the rotation."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import httpx
import trio

from oleanderweir_standins.settings_writer import READINESS_PORT


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_bench.packet_path import EmulatedRouter


PROBE_INTERVAL_S = 0.5
FAILURE_THRESHOLD = 2
READINESS_PATH = "/v1/readyz"


class ReadinessProber:
    """
    Probes the readiness of each balancer twice a second.

    After two failed probes in a row, the router stops using a balancer until a probe
    succeeds. If no balancer is ready, the router uses all of them.
    """

    def __init__(self, *, router: EmulatedRouter, hosts: Sequence[str]) -> None:
        self.router = router
        self.hosts = list(hosts)
        self.failures: Counter[str] = Counter()

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(self._probe, host)

    async def _probe(self, host: str) -> None:
        url = f"http://{host}:{READINESS_PORT}{READINESS_PATH}"
        async with httpx.AsyncClient(timeout=PROBE_INTERVAL_S) as client:
            while True:
                await trio.sleep(PROBE_INTERVAL_S)
                is_ready = await _is_ready(client, url)
                self.failures[host] = 0 if is_ready else self.failures[host] + 1
                self._update_rotation()

    def _update_rotation(self) -> None:
        ready = [host for host in self.hosts if self.failures[host] < FAILURE_THRESHOLD]
        self.router.hosts = ready or list(self.hosts)


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        response = await client.get(url)
    except httpx.HTTPError:
        return False
    return response.status_code == httpx.codes.OK
