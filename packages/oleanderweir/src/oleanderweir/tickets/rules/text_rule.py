"""The rule for fields that contain free text."""

from __future__ import annotations

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


@attrs.frozen(kw_only=True)
class TextRule:
    """Accepts a string up to a length in characters."""

    max_length: int

    @property
    def remedy(self) -> str:
        """What to write instead."""
        return f"write a string of at most {self.max_length} characters"

    def read(self, value: object) -> str:
        """Return the text; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, str):
            raise InvalidFieldError("is not a string")
        if len(value) > self.max_length:
            raise InvalidFieldError("is too long")
        return value
