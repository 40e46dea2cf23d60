"""The rule for fields that contain a boolean."""

from __future__ import annotations

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


@attrs.frozen(kw_only=True)
class BooleanRule:
    """Accepts a boolean."""

    remedy: str = "write true or false"

    def read(self, value: object) -> bool:
        """Return the value; raise ``InvalidFieldError`` if it is not a boolean."""
        if not isinstance(value, bool):
            raise InvalidFieldError("is not a boolean")
        return value
