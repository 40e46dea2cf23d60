"""Writes change tickets for a deployment."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir.configuration import BackendServer
    from oleanderweir.configuration import Service


@attrs.define(kw_only=True)
class TicketWriter:
    """Writes tickets with increasing numbers, in the format of docs/TICKETS.md."""

    number: int = 0

    def write(
        self,
        *,
        services: Sequence[Service] = (),
        backend_servers: Sequence[BackendServer] = (),
        removed_backend_servers: Sequence[str] = (),
    ) -> str:
        """Return the text of the next ticket."""
        self.number += 1
        backends: dict[str, Any] = {
            server.name: encode_fields(server) for server in backend_servers
        }
        backends |= dict.fromkeys(removed_backend_servers)
        ticket: dict[str, Any] = {"ticket": self.number}
        if services:
            ticket["services"] = {
                service.name: encode_fields(service) for service in services
            }
        if backends:
            ticket["backend_servers"] = backends
        return json.dumps(ticket, indent=2) + "\n"


def encode_fields(value: Service | BackendServer) -> dict[str, Any]:
    """Return all fields of a service or backend server except its name."""
    fields = attrs.asdict(value, recurse=False)
    del fields["name"]
    return {name: to_json_value(field) for name, field in fields.items()}


def to_json_value(field: Any) -> Any:
    """Return a value that JSON can encode; other types become strings."""
    if isinstance(field, bool | int | float | tuple):
        return field
    return str(field)
