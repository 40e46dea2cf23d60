"""How busy a backend server is."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """
    An agent's view of its backend server, from the packets that pass.

    ``busy`` counts requests in progress, queued ones included, ``flows`` open flows.
    ``service_ms`` is the mean time of a request lately, ``busy_mean`` the mean of
    ``busy``. ``is_accepting`` unless the backend server drains, is full or silent.
    """

    service: str
    busy: int
    flows: int
    busy_mean: float
    service_ms: float
    is_accepting: bool
