"""The rule for fields that contain a name."""

from __future__ import annotations

import re

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")


@attrs.frozen(kw_only=True)
class NameRule:
    """Accepts a name that is valid in a host name, in metrics and in a key."""

    remedy: str = (
        "write 1 to 63 characters of a-z, 0-9 and '-', "
        "with a letter or digit at both ends"
    )

    def read(self, value: object) -> str:
        """Return the name; raise ``InvalidFieldError`` if it is not allowed."""
        if not isinstance(value, str):
            raise InvalidFieldError("is not a string")
        if NAME_PATTERN.fullmatch(value) is None:
            raise InvalidFieldError(f"'{value[:64]}' is not a valid name")
        return value
