"""The name under which service times of requests are learnt."""

from __future__ import annotations

import attrs


MAX_SEGMENTS = 6
MAX_SEGMENT_LENGTH = 32
ANY_SEGMENT = "*"


@attrs.frozen(kw_only=True)
class Route:
    """A method with a path template, in which identifiers are replaced by ``*``."""

    method: str
    template: str

    @classmethod
    def of(cls, *, method: str, path: str) -> Route:
        """Return the route of a request; the query plays no part."""
        bare_path = path.partition("?")[0]
        segments = bare_path.strip("/").split("/")[:MAX_SEGMENTS]
        return cls(
            method=method,
            template="/" + "/".join(_generalize(segment) for segment in segments),
        )


def _generalize(segment: str) -> str:
    is_identifier = any(letter.isdigit() for letter in segment)
    if is_identifier or len(segment) > MAX_SEGMENT_LENGTH:
        return ANY_SEGMENT
    return segment
