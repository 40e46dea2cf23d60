"""A view of a configuration that has not arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration.backend_server import BackendServer
    from oleanderweir.configuration.service import Service


class PendingConfiguration:
    """No service, no backend server, never ready."""

    is_ready = False

    def services(self) -> Sequence[Service]:
        """Return nothing."""
        return ()

    def service(self, name: str) -> Service | None:
        """Return nothing."""
        return None

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        """Return nothing."""
        return ()

    async def wait_changed(self) -> None:
        """Wait for ever."""
        await trio.sleep_forever()
