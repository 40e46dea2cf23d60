"""The rule for fields that contain an integer."""

from __future__ import annotations

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


@attrs.frozen(kw_only=True)
class IntegerRule:
    """Accepts an integer between two inclusive limits."""

    low: int
    high: int

    @property
    def remedy(self) -> str:
        """What to write instead."""
        return f"write an integer from {self.low} to {self.high}"

    def read(self, value: object) -> int:
        """Return the number; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, int) or isinstance(value, bool):
            raise InvalidFieldError("is not an integer")
        if not self.low <= value <= self.high:
            raise InvalidFieldError("is out of range")
        return value
