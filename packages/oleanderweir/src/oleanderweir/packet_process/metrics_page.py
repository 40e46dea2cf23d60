"""The counters and evacuated zones of a process in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import HistogramMetricFamily

from oleanderweir.error_barrier import unexpected_errors
from oleanderweir.event_log import LATENCY_BUCKETS_S
from oleanderweir.http_responder import HttpResponse


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from prometheus_client.core import Metric

    from oleanderweir.event_log import EventCounters


class EventCollector:
    """Exposes the counters of logged decisions to the Prometheus client."""

    def __init__(self, *, counters: EventCounters) -> None:
        self.counters = counters

    def collect(self) -> Iterator[Metric]:
        """Yield a counter with a sample per code and reason, and the latencies."""
        family = CounterMetricFamily(
            "oleanderweir_events",
            "Decisions by code and reason, those left out of the log included.",
            labels=["code", "reason"],
        )
        for (code, reason), count in sorted(self.counters.counts.items()):
            family.add_metric([code, reason], count)
        yield family
        yield _collect_unexpected_errors()
        yield self._collect_latency()

    def _collect_latency(self) -> Metric:
        """Return the histogram of request latencies."""
        total = 0
        buckets = []
        for bound in LATENCY_BUCKETS_S:
            total += self.counters.durations[bound]
            buckets.append((str(bound), total))
        total += self.counters.durations[float("inf")]
        buckets.append(("+Inf", total))
        return HistogramMetricFamily(
            "oleanderweir_request_seconds",
            "Time from a request's start at the backend server to its answer.",
            buckets=buckets,
            sum_value=self.counters.duration_sum_s,
        )


def _collect_unexpected_errors() -> Metric:
    """Return the counter of unexpected errors."""
    family = CounterMetricFamily(
        "oleanderweir_unexpected_errors",
        "Unexpected errors, each of which cost one input, by place.",
        labels=["place"],
    )
    for place, count in sorted(unexpected_errors.items()):
        family.add_metric([place], count)
    return family


class EvacuationCollector:
    """Exposes the evacuated availability zones to the Prometheus client, if any."""

    def __init__(self, *, started_at: Mapping[str, float]) -> None:
        self.started_at = started_at

    def collect(self) -> Iterator[Metric]:
        """Yield for how long each order has been in force at this process."""
        if not self.started_at:
            return
        family = GaugeMetricFamily(
            "oleanderweir_zone_evacuated_seconds",
            "Time since this process learned that a zone is evacuated.",
            labels=["zone"],
        )
        now = trio.current_time()
        for zone, started_at in sorted(self.started_at.items()):
            family.add_metric([zone], now - started_at)
        yield family


def make_metrics_page(
    counters: EventCounters, *, evacuations_started_at: Mapping[str, float]
) -> HttpResponse:
    """Return the response with all counters, and the evacuated zones."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(EventCollector(counters=counters))
    registry.register(EvacuationCollector(started_at=evacuations_started_at))
    return HttpResponse(
        status=200,
        body=generate_latest(registry),
        content_type="text/plain; version=0.0.4; charset=utf-8",
    )
