"""The times after which requests of each route count as slow."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from oleanderweir.hedging import HedgeDelay


if TYPE_CHECKING:
    from oleanderweir_agent.queueing import Route


# Bounds the memory; the least recently answered route is forgotten.
MAX_ROUTES = 128
# Shorter delays would copy ordinary jitter, and cost more than they save.
MIN_DELAY_S = 0.02


@attrs.define(kw_only=True, eq=False)
class RouteDelays:
    """
    The recent answer times of each route at this agent.

    The time of a request whose copy won is known only as a lower bound. That is above
    the delay, so the quantile doesn't fall because of copies.
    """

    max_routes: int = MAX_ROUTES
    by_route: OrderedDict[Route, HedgeDelay] = attrs.field(factory=OrderedDict)

    def record(self, route: Route, took_s: float) -> None:
        """Record the time to the answer of one request, in seconds."""
        delay = self.by_route.get(route)
        if delay is None:
            delay = HedgeDelay(min_s=MIN_DELAY_S, max_s=math.inf)
            self.by_route[route] = delay
        delay.record(took_s)
        self.by_route.move_to_end(route)
        if len(self.by_route) > self.max_routes:
            self.by_route.popitem(last=False)

    def read(self, route: Route) -> float | None:
        """Return the delay of a route in seconds, None if too few times are known."""
        delay = self.by_route.get(route)
        return None if delay is None else delay.read()
