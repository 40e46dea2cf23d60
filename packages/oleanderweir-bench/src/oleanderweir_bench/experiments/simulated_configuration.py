"""The configuration of a simulated service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress


if TYPE_CHECKING:
    from collections.abc import Sequence


SERVICE = "simulated"
ADDRESS = SocketAddress(host="127.0.0.1", port=1)
ZONES = ("z1", "z2", "z3")


@attrs.define(kw_only=True, eq=False)
class SimulatedConfiguration:
    """One service, whose backend servers are in three availability zones in turn."""

    names: Sequence[str]
    max_copy_share: float = 0.0
    is_ready: bool = True
    entries: list[BackendServer] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.entries = [
            BackendServer(
                name=name,
                service=SERVICE,
                availability_zone=ZONES[index % len(ZONES)],
                agent_address=ADDRESS,
                peer_address=ADDRESS,
                slots=1,
            )
            for index, name in enumerate(self.names)
        ]

    def services(self) -> Sequence[Service]:
        """Return the only service."""
        return [self.service(SERVICE)]

    def service(self, name: str) -> Service:
        """Return the service."""
        return Service(name=name, address=ADDRESS, max_copy_share=self.max_copy_share)

    def backend_server(self, name: str) -> BackendServer | None:
        """Return the backend server with that name, or ``None``."""
        return next((entry for entry in self.entries if entry.name == name), None)

    def backend_servers(self, service: str) -> Sequence[BackendServer]:
        """Return all backend servers."""
        return self.entries

    async def wait_changed(self) -> None:
        """Wait forever: nothing changes."""
        await trio.sleep_forever()
