"""The work of one request."""

from __future__ import annotations

import math

import attrs


@attrs.frozen(kw_only=True)
class RunRequest:
    """
    The work of one request.

    ``deadline`` is on trio's clock, in seconds. ``item_id`` is the identifier in the
    body of a request that must not run twice.
    """

    request_id: str
    route: str
    work_ms: float
    deadline: float = math.inf
    item_id: str = ""
