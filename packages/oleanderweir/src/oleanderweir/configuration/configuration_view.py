"""The data path's view of the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration.backend_server import BackendServer
    from oleanderweir.configuration.service import Service


class ConfigurationView(Protocol):
    """Read access to the services and backend servers in force."""

    @property
    def is_ready(self) -> bool:
        """Whether the process has merged enough configuration to serve."""

    def services(self) -> Sequence[Service]:
        """Return all services, ordered by name."""

    def service(self, name: str) -> Service | None:
        """Return the service with that name, or ``None``."""

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the backend server with that name, or ``None``."""

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        """Return the backend servers of a service, ordered by name."""

    async def wait_changed(self) -> None:
        """Wait until the next change of the configuration is in force."""
