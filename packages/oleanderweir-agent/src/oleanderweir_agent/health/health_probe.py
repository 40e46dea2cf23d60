"""Probes the health endpoint of the backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.backend import BackendBrokenError
from oleanderweir_agent.backend import BackendUnreachableError
from oleanderweir_agent.requests import Request


if TYPE_CHECKING:
    import random

    from oleanderweir_agent.backend import BackendClient
    from oleanderweir_agent.health.backend_health import BackendHealth


HEALTH_PATH = "/health"
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 1.0
OK = 200


class HealthProbe:
    """Probes the health endpoint periodically and records the results."""

    def __init__(
        self,
        *,
        backend: BackendClient,
        health: BackendHealth,
        random_source: random.Random,
    ) -> None:
        self.backend = backend
        self.health = health
        self.random_source = random_source

    async def run(self) -> None:
        """Probe at a jittered interval until cancelled."""
        while True:
            self.health.record_probe(is_healthy=await self.probe())
            await trio.sleep(PROBE_INTERVAL_S * self.random_source.uniform(0.9, 1.1))

    async def probe(self) -> bool:
        """Return whether the endpoint responds with status 200 before the timeout."""
        with trio.move_on_after(PROBE_TIMEOUT_S):
            try:
                async with await self.backend.connect() as exchange:
                    await exchange.send(exchange.encode(_make_request()))
                    head = await exchange.read_head()
            except (BackendBrokenError, BackendUnreachableError):
                return False
            return head.status == OK
        return False


def _make_request() -> Request:
    now = trio.current_time()
    return Request(
        request_id="health",
        method="GET",
        path=HEALTH_PATH,
        headers=(),
        body=b"",
        arrived_at=now,
        deadline=now + PROBE_TIMEOUT_S,
    )
