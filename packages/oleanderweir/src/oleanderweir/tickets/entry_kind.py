"""The kinds of entries that a ticket can contain."""

from __future__ import annotations

import enum


class EntryKind(enum.StrEnum):
    """Whether an entry describes a service or a backend server."""

    SERVICE = "service"
    BACKEND_SERVER = "backend_server"

    @property
    def section(self) -> str:
        """The field of a ticket that contains the entries of this kind."""
        return f"{self.value}s"
