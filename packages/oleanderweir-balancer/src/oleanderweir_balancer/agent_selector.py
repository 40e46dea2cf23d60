"""Selects an agent for the first packet of a new flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.net import SocketAddress


FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class AgentSelector:
    """
    Selects an agent of a service at random among those that appear to serve.

    An agent that doesn't answer in time is ejected for a time that doubles with each
    timeout and ends with its first answer. When every agent is ejected or drains, all
    are candidates: a fault of the detection is then more likely than the loss of all.
    """

    def __init__(
        self, *, configuration: ConfigurationView, random_source: random.Random
    ) -> None:
        self.configuration = configuration
        self.random_source = random_source
        self.ejections: dict[SocketAddress, _Ejection] = {}

    def select(
        self, service: str, *, excluding: SocketAddress | None = None
    ) -> SocketAddress | None:
        """Return the address of an agent, or ``None`` if the service has none."""
        servers = [
            server
            for server in self.configuration.backend_servers(service)
            if server.agent_address != excluding
        ]
        candidates = self._available(servers) or servers
        if not candidates:
            return None
        return self.random_source.choice(candidates).agent_address

    def record_answer(self, agent: SocketAddress) -> None:
        """End the ejection of an agent that answered."""
        self.ejections.pop(agent, None)

    def record_timeout(self, agent: SocketAddress) -> None:
        """Eject an agent that did not answer in time."""
        earlier = self.ejections.get(agent)
        duration_s = FIRST_EJECTION_S
        if earlier is not None:
            duration_s = min(earlier.duration_s * 2, MAX_EJECTION_S)
        self.ejections[agent] = _Ejection(
            duration_s=duration_s, until=trio.current_time() + duration_s
        )

    def discard_unknown(self) -> None:
        """Remove the ejections of agents that no ticket in force contains."""
        known = {
            server.agent_address
            for service in self.configuration.services()
            for server in self.configuration.backend_servers(service.name)
        }
        for agent in self.ejections.keys() - known:
            del self.ejections[agent]

    def _available(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the backend servers that neither drain nor are ejected."""
        now = trio.current_time()
        return [
            server
            for server in servers
            if not server.is_draining and not self._is_ejected(server, now)
        ]

    def _is_ejected(self, server: BackendServer, now: float) -> bool:
        ejection = self.ejections.get(server.agent_address)
        return ejection is not None and now < ejection.until


class _Ejection:
    """The ejection of one agent: its duration, and its end in trio time (seconds)."""

    def __init__(self, *, duration_s: float, until: float) -> None:
        self.duration_s = duration_s
        self.until = until
