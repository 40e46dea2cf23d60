"""Configures the event log of a process."""

from __future__ import annotations

import logging

from oleanderweir.event_log.event_counters import EventCounters
from oleanderweir.event_log.json_line_formatter import JsonLineFormatter
from oleanderweir.event_log.line_writer import LineWriter
from oleanderweir.event_log.rate_limit_filter import RateLimitFilter


def configure_event_log(
    *, instance: str, availability_zone: str, descriptor: int, max_lines: int
) -> EventCounters:
    """
    Send all log records to ``descriptor`` as JSON lines, and count them.

    At most ``max_lines`` per second are written for each code. Return the counters.
    """
    writer = LineWriter(descriptor=descriptor)
    writer.setFormatter(
        JsonLineFormatter(instance=instance, availability_zone=availability_zone)
    )
    writer.addFilter(RateLimitFilter(max_lines=max_lines))
    counters = EventCounters()
    _omit_unused_fields()
    root = logging.getLogger()
    root.handlers = [counters, writer]
    root.setLevel(logging.INFO)
    return counters


def _omit_unused_fields() -> None:
    """Have records made without the fields that no line has; they take time."""
    # The documented way to leave out the place of the call.
    logging._srcfile = ""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
