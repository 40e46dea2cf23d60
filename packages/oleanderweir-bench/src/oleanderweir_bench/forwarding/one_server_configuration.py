"""A fixed configuration with one service and one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress


class OneServerConfiguration:
    """The configuration of a balancer for one service with one backend server."""

    is_ready = True

    def __init__(
        self, *, agent_address: SocketAddress, service_address: SocketAddress
    ) -> None:
        self.only_service = Service(name="horaflujo", address=service_address)
        self.only_server = BackendServer(
            name="horaflujo-1",
            service="horaflujo",
            availability_zone="stgo-b",
            agent_address=agent_address,
            peer_address=agent_address,
            slots=4,
        )

    def services(self) -> Sequence[Service]:
        """Return the service."""
        return [self.only_service]

    def service(self, name: str) -> Service | None:
        """Return the service if ``name`` is its name."""
        return self.only_service if name == self.only_service.name else None

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the backend server if ``name`` is its name."""
        return self.only_server if name == self.only_server.name else None

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        """Return the backend server if ``service`` is the name of its service."""
        return [self.only_server] if service == self.only_service.name else []

    async def wait_changed(self) -> None:
        """Not implemented: the configuration is fixed and the benchmark never waits."""
        raise NotImplementedError
