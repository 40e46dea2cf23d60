"""How busy a backend server is."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """
    An agent's view of its backend server, from the packets that pass.

    ``busy`` counts requests in progress, queued ones included, ``flows`` open flows.
    ``service_ms`` is the mean time of a request lately, ``busy_mean`` the mean of
    ``busy``. ``silent_ms`` is how long the backend server has owed a sign of life.
    """

    service: str
    busy: int
    flows: int
    busy_mean: float
    service_ms: float
    silent_ms: int
    is_accepting: bool
