"""The rule for fields that contain prefixes of request paths."""

from __future__ import annotations

import re

import attrs

from oleanderweir.tickets.rules.exceptions import InvalidFieldError


PATH_PATTERN = re.compile(r"/[!-~]{0,255}")


@attrs.frozen(kw_only=True)
class PathListRule:
    """Accepts a list of different paths that begin with a slash."""

    max_count: int

    @property
    def remedy(self) -> str:
        """What to write instead."""
        return (
            f"write a list of at most {self.max_count} different paths such as "
            '"/ticks", in ASCII without spaces'
        )

    def read(self, value: object) -> tuple[str, ...]:
        """Return the paths; raise ``InvalidFieldError`` if they are not allowed."""
        if not isinstance(value, list):
            raise InvalidFieldError("is not a list")
        if len(value) > self.max_count:
            raise InvalidFieldError("is too long")
        for path in value:
            if not isinstance(path, str) or PATH_PATTERN.fullmatch(path) is None:
                raise InvalidFieldError(f"{str(path)[:64]!r} is not a valid path")
        if len(set(value)) != len(value):
            raise InvalidFieldError("contains a path twice")
        return tuple(value)
