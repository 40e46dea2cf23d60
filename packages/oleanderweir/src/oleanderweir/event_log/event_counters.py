"""Counts decisions by code and reason."""

from __future__ import annotations

import logging
from collections import Counter


class EventCounters(logging.Handler):
    """
    Counts every record of the log by its code and reason, those left out included.

    Only integers are kept here: the metrics library is loaded by the first reader of
    the metrics, so that a start doesn't wait for it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[tuple[str, str]] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record."""
        code = getattr(record, "code", record.levelname)
        self.counts[code, str(getattr(record, "reason_code", ""))] += 1
