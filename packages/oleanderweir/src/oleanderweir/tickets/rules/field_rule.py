"""The interface of validation rules for one field of a ticket."""

from __future__ import annotations

from typing import Any
from typing import Protocol


class FieldRule(Protocol):
    """The interface of validation rules for one field of a ticket."""

    @property
    def remedy(self) -> str:
        """What to write instead, as an imperative sentence without a full stop."""

    def read(self, value: object) -> Any:
        """Return the typed value; raise ``InvalidFieldError`` if it is not allowed."""
