"""The choice of an agent for the first packet of a new flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.net import SocketAddress


FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 30.0


class AgentSelector:
    """
    Picks an agent of a service at random among those believed to serve.

    An agent that stayed silent is avoided for a time that doubles with each silence
    and ends with its first answer. When every agent is avoided, all are candidates,
    since then the belief is more likely wrong than the fleet dead.
    """

    def __init__(
        self, *, configuration: ConfigurationView, random_source: random.Random
    ) -> None:
        self.configuration = configuration
        self.random_source = random_source
        self.suspicions: dict[SocketAddress, _Suspicion] = {}

    def select(
        self, service: str, *, excluding: SocketAddress | None = None
    ) -> SocketAddress | None:
        """Return the address of an agent, or nothing when the service has none."""
        servers = [
            server
            for server in self.configuration.backend_servers(service)
            if server.agent_address != excluding
        ]
        candidates = self._trusted(servers) or servers
        if not candidates:
            return None
        return self.random_source.choice(candidates).agent_address

    def note_answer(self, agent: SocketAddress) -> None:
        """End the suspicion of an agent that answered."""
        self.suspicions.pop(agent, None)

    def note_silence(self, agent: SocketAddress) -> None:
        """Avoid an agent that did not answer in time."""
        earlier = self.suspicions.get(agent)
        duration_s = FIRST_SUSPICION_S
        if earlier is not None:
            duration_s = min(earlier.duration_s * 2, MAX_SUSPICION_S)
        self.suspicions[agent] = _Suspicion(
            duration_s=duration_s, until=trio.current_time() + duration_s
        )

    def forget_unknown(self) -> None:
        """Drop suspicions of agents that no ticket in force names."""
        known = {
            server.agent_address
            for service in self.configuration.services()
            for server in self.configuration.backend_servers(service.name)
        }
        for agent in self.suspicions.keys() - known:
            del self.suspicions[agent]

    def _trusted(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the backend servers that serve, as far as this process knows."""
        now = trio.current_time()
        return [
            server
            for server in servers
            if not server.is_draining and not self._is_suspected(server, now)
        ]

    def _is_suspected(self, server: BackendServer, now: float) -> bool:
        suspicion = self.suspicions.get(server.agent_address)
        return suspicion is not None and now < suspicion.until


class _Suspicion:
    """How long a silent agent is avoided."""

    def __init__(self, *, duration_s: float, until: float) -> None:
        self.duration_s = duration_s
        self.until = until
