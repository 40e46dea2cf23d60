"""The limits of a service that a configuration lists."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ServiceLimits:
    """
    A listed service and the limits of each of its backend servers.

    ``connection_limit`` is the number of open flows, ``None`` if it isn't configured.
    For ``cold_start_duration_s`` seconds after its start, a backend server is to get at
    most ``cold_start_rate_per_s`` requests a second; 0 is no limit.
    """

    name: str
    connection_limit: int | None = None
    cold_start_rate_per_s: float = 0.0
    cold_start_duration_s: float = 0.0
