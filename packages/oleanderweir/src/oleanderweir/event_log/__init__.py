"""Structured logging of events as JSON lines, with counters of these events."""

from __future__ import annotations

from oleanderweir.event_log.configure import configure_event_log
from oleanderweir.event_log.event_counters import LATENCY_BUCKETS_S
from oleanderweir.event_log.event_counters import EventCounters
from oleanderweir.event_log.flow_trace import TraceLine
from oleanderweir.event_log.flow_trace import trace_flow
from oleanderweir.event_log.json_line_formatter import JsonLineFormatter
from oleanderweir.event_log.line_writer import LineWriter
from oleanderweir.event_log.rate_limit_filter import MAX_LINES_PER_CODE
from oleanderweir.event_log.rate_limit_filter import RateLimitFilter


__all__ = [
    "LATENCY_BUCKETS_S",
    "MAX_LINES_PER_CODE",
    "RateLimitFilter",
    "EventCounters",
    "JsonLineFormatter",
    "LineWriter",
    "TraceLine",
    "configure_event_log",
    "trace_flow",
]
