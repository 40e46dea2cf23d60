"""The key by which service times of requests are grouped."""

from __future__ import annotations

import functools

import attrs


MAX_SEGMENTS = 6
MAX_SEGMENT_LENGTH = 32
ANY_SEGMENT = "*"
CACHED_ROUTES = 1024


@attrs.frozen(kw_only=True)
class Route:
    """A method and a path template in which ``*`` replaces identifiers."""

    method: str
    template: str

    @classmethod
    def of(cls, *, method: str, path: str) -> Route:
        """Return the route of a request; the query string is ignored."""
        return _make_route(method, path.partition("?")[0])


@functools.lru_cache(maxsize=CACHED_ROUTES)
def _make_route(method: str, path: str) -> Route:
    segments = path.strip("/").split("/")[:MAX_SEGMENTS]
    template = "/" + "/".join(_generalize(segment) for segment in segments)
    return Route(method=method, template=template)


def _generalize(segment: str) -> str:
    is_identifier = any(letter.isdigit() for letter in segment)
    if is_identifier or len(segment) > MAX_SEGMENT_LENGTH:
        return ANY_SEGMENT
    return segment
