"""Observed service times per route."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.queueing.service_time_histogram import ServiceTimeHistogram


if TYPE_CHECKING:
    from oleanderweir_agent.queueing.route import Route


MAX_ROUTES = 512
LONG_RATIO = 8.0
CONSERVATIVE_QUANTILE = 0.95
MIN_RUNS = 3.0


@attrs.define(kw_only=True)
class ServiceTimeModel:
    """
    Service times of the backend server, by route and over all routes.

    At most ``max_routes`` routes are stored; the least recently observed one is
    evicted. A route with fewer than ``MIN_RUNS`` runs is estimated from all routes.
    """

    max_routes: int = MAX_ROUTES
    long_ratio: float = LONG_RATIO
    overall: ServiceTimeHistogram = attrs.field(factory=ServiceTimeHistogram)
    by_route: OrderedDict[Route, ServiceTimeHistogram] = attrs.field(
        factory=OrderedDict
    )

    def observe(self, route: Route, service_time_s: float) -> None:
        """Record the service time of one run, for its route and over all routes."""
        self.overall.observe(service_time_s)
        histogram = self.by_route.setdefault(route, ServiceTimeHistogram())
        histogram.observe(service_time_s)
        self.by_route.move_to_end(route)
        if len(self.by_route) > self.max_routes:
            self.by_route.popitem(last=False)

    def histogram(self, route: Route) -> ServiceTimeHistogram:
        """Return the histogram of a route, or of all routes if it has too few runs."""
        histogram = self.by_route.get(route)
        if histogram is None or histogram.total_weight < MIN_RUNS:
            return self.overall
        return histogram

    def expected_s(self, route: Route) -> float:
        """Return the expected service time; 0 when no run has been observed."""
        return self.histogram(route).mean_s

    def conservative_s(self, route: Route) -> float:
        """Return a high quantile of the service times of the route."""
        return self.histogram(route).quantile_s(CONSERVATIVE_QUANTILE)

    def median_s(self) -> float:
        """Return the median service time over all routes."""
        return self.overall.quantile_s(0.5)

    def is_long(self, service_time_s: float) -> bool:
        """Whether a service time exceeds ``long_ratio`` times the overall median."""
        return service_time_s > self.long_ratio * self.median_s() > 0.0
