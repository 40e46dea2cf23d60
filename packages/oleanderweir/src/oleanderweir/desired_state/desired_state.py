"""The configuration of routes by operators."""

from __future__ import annotations

import attrs

from oleanderweir.desired_state.route import Route  # noqa: TC001


@attrs.frozen(kw_only=True)
class DesiredState:
    """
    A complete configuration; a higher ``version`` replaces a lower one.

    ``routes`` is keyed by the packed address and port of each route.
    """

    version: int
    routes: dict[bytes, Route]
    idle_timeout_s: float
