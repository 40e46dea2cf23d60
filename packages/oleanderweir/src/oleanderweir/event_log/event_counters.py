"""Counts decisions by code and reason."""

from __future__ import annotations

import logging
from collections import Counter


# Codes whose reason is one of a few.
CODES_WITH_REASON = frozenset({"flow_reset", "packet_given_back", "packet_returned"})
# The code of a decision whose duration is the latency of a request.
REQUEST_CODE = "request_answered"
# Upper bounds of the latency histogram, in seconds.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class EventCounters(logging.Handler):
    """
    Counts every record of the log by its code and reason, those left out included.

    Only integers are kept here: the metrics library is loaded by the first reader of
    the metrics, so that a start doesn't wait for it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[tuple[str, str]] = Counter()
        # Records with a duration, by the upper bound of its bucket.
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
                (it for it in LATENCY_BUCKETS_S if took_s <= it), float("inf")
            )
            self.durations[bucket] += 1
            self.duration_sum_s += took_s
