"""Counts log records by code and reason."""

from __future__ import annotations

import logging
from collections import Counter


# Codes with a small set of reasons, which are counted separately.
CODES_WITH_REASON = frozenset(
    {"flow_reset", "hedge_withheld", "packet_given_back", "packet_returned"}
)
# The code whose duration is the latency of a request.
REQUEST_CODE = "request_answered"
# Upper bounds of the latency histogram, in seconds.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class EventCounters(logging.Handler):
    """
    Counts every log record, including suppressed ones.

    Records with a code of ``CODES_WITH_REASON`` are counted for each reason.

    The counters are plain numbers: the metrics library is only imported when the
    metrics are first read, so that it doesn't delay the start of the process.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[tuple[str, str]] = Counter()
        # Requests by the upper bound of their latency bucket.
        self.durations: Counter[float] = Counter()
        self.duration_sum_s = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record."""
        code = getattr(record, "code", record.levelname)
        reason = getattr(record, "reason_code", getattr(record, "reason", ""))
        self.counts[code, str(reason) if code in CODES_WITH_REASON else ""] += 1
        took_ms = getattr(record, "took_ms", None)
        if code == REQUEST_CODE and took_ms is not None:
            took_s = took_ms / 1000
            bucket = next(
                (bound for bound in LATENCY_BUCKETS_S if took_s <= bound), float("inf")
            )
            self.durations[bucket] += 1
            self.duration_sum_s += took_s
