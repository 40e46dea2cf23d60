"""A piece of work that a request asks for."""

from __future__ import annotations

import math

import attrs


@attrs.frozen(kw_only=True)
class RunRequest:
    """
    A piece of work that a request asks for.

    ``deadline`` is on trio's clock, in seconds. ``item_id`` is the identifier in the
    body of a request that may not be repeated.
    """

    request_id: str
    route: str
    work_ms: float
    deadline: float = math.inf
    item_id: str = ""
