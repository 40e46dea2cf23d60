"""Fields that hold a whole number."""

from __future__ import annotations

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


@attrs.frozen(kw_only=True)
class IntegerRule:
    """A whole number between two limits, both included."""

    low: int
    high: int

    @property
    def remedy(self) -> str:
        """What to write."""
        return f"write a whole number from {self.low} to {self.high}"

    def read(self, value: object) -> int:
        """Return the number; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, int) or isinstance(value, bool):
            raise InvalidFieldError("is no whole number")
        if not self.low <= value <= self.high:
            raise InvalidFieldError("is out of range")
        return value
