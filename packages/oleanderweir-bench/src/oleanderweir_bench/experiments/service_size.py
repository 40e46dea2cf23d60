"""The size of a simulated service."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ServiceSize:
    """The number of backend servers of a service, and the slots of each."""

    server_count: int
    slots: int

    def __str__(self) -> str:
        return f"{self.server_count} x {self.slots}"


SERVICE_SIZES = (
    ServiceSize(server_count=7, slots=4),
    ServiceSize(server_count=3, slots=4),
    ServiceSize(server_count=7, slots=3),
    ServiceSize(server_count=3, slots=3),
)
