"""Numbers in the query and the header fields of a request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from starlette.requests import Request


def read_number(request: Request, name: str, default: float) -> float | None:
    """Return a number from the query, or ``default``; None if it is not finite."""
    return parse_number(request.query_params.get(name), default)


def read_timeout_ms(request: Request) -> float | None:
    """
    Return the time until the deadline, which is infinite without the header.

    Return None if the header is not a number of at least 0.
    """
    text = request.headers.get("request-timeout-ms")
    if text is None:
        return math.inf
    value = parse_number(text, math.inf)
    return value if value is not None and value >= 0 else None


def parse_number(text: str | None, default: float) -> float | None:
    """Return the finite number in ``text``, or None; without a text, ``default``."""
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
