"""Readiness checks of the routers of an emulated site."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_bench.packet_path.emulated_balancers import EmulatedBalancers
    from oleanderweir_bench.packet_path.emulated_router import EmulatedRouter


CHECK_INTERVAL_S = 0.5
# Failed checks in a row after which a balancer leaves the rotation.
FAILURE_THRESHOLD = 2


class EmulatedReadiness:
    """
    Takes balancers that aren't ready out of rotation until a check succeeds.

    If fewer than half are ready, the router uses all of them. Balancers in ``stopping``
    are about to stop, those in ``removed`` are out of rotation as planned.
    """

    def __init__(
        self,
        *,
        router: EmulatedRouter,
        hosts: Sequence[str],
        balancers: EmulatedBalancers,
    ) -> None:
        self.router = router
        self.hosts = hosts
        self.balancers = balancers
        self.failures: Counter[str] = Counter()
        self.stopping: set[str] = set()
        self.removed: set[str] = set()

    async def run(self) -> None:
        """Check until cancelled."""
        self.router.hosts = list(self.hosts)
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            for host in self.hosts:
                is_ready = self._is_ready(host)
                self.failures[host] = 0 if is_ready else self.failures[host] + 1
            self._update_rotation()

    def _is_ready(self, host: str) -> bool:
        balancer = self.balancers.running.get(host)
        is_unavailable = host in self.stopping or host in self.removed
        return balancer is not None and balancer.is_ready and not is_unavailable

    def _update_rotation(self) -> None:
        ready = [host for host in self.hosts if self.failures[host] < FAILURE_THRESHOLD]
        is_enough = len(ready) * 2 >= len(self.hosts)
        self.router.hosts = ready if is_enough else list(self.hosts)
