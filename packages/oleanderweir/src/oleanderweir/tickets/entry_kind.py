"""The kinds of things that a ticket can describe."""

from __future__ import annotations

import enum


class EntryKind(enum.StrEnum):
    """The kind of thing that an entry describes."""

    SERVICE = "service"
    BACKEND_SERVER = "backend_server"

    @property
    def section(self) -> str:
        """The field of a ticket that holds values of this kind."""
        return f"{self.value}s"
