"""The load of a backend server."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """
    The load of a backend server as its agent derives it from the forwarded packets.

    ``busy`` counts requests in flight, queued or arriving, ``flows`` open flows.
    ``service_ms`` is the recent mean service time of a request, ``busy_mean`` the
    recent mean of the requests in flight without queued ones. ``is_accepting`` is false
    while the backend server drains, is full or doesn't respond.
    """

    service: str
    busy: int
    flows: int
    busy_mean: float
    service_ms: float
    is_accepting: bool
