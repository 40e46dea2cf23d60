"""The rule for fields that contain a number, such as a time in seconds."""

from __future__ import annotations

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


@attrs.frozen(kw_only=True)
class NumberRule:
    """Accepts a number between two inclusive limits."""

    low: float
    high: float

    @property
    def remedy(self) -> str:
        """What to write instead."""
        return f"write a number from {self.low:g} to {self.high:g}"

    def read(self, value: object) -> float:
        """Return the number; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise InvalidFieldError("is not a number")
        if not self.low <= value <= self.high:
            raise InvalidFieldError("is out of range")
        return float(value)
