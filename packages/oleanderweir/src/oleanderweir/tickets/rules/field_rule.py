"""What one field of a ticket may hold."""

from __future__ import annotations

from typing import Any
from typing import Protocol


class FieldRule(Protocol):
    """What one field of a ticket may hold."""

    @property
    def remedy(self) -> str:
        """What to write, as an imperative sentence without a full stop."""

    def read(self, value: object) -> Any:
        """Return the typed value; raise ``InvalidFieldError`` if it is not allowed."""
