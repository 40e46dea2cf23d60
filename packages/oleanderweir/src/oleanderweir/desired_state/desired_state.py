"""The configuration of routes by operators."""

from __future__ import annotations

import attrs

from oleanderweir.desired_state.cold_start_limit import ColdStartLimit  # noqa: TC001
from oleanderweir.desired_state.route import Route  # noqa: TC001


@attrs.frozen(kw_only=True)
class DesiredState:
    """
    A complete configuration; a higher ``version`` replaces a lower one.

    ``routes`` is keyed by the packed address and port of each route,
    ``cold_start_limits`` by service; a service without one has no limit.
    """

    version: int
    routes: dict[bytes, Route]
    idle_timeout_s: float
    cold_start_limits: dict[str, ColdStartLimit] = attrs.field(factory=dict)
