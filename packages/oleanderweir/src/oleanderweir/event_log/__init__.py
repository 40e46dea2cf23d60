"""Decisions as lines of JSON, and counters of the same decisions."""

from __future__ import annotations

from oleanderweir.event_log.code_limit import MAX_LINES_PER_CODE
from oleanderweir.event_log.code_limit import CodeLimit
from oleanderweir.event_log.configure import configure_event_log
from oleanderweir.event_log.event_counters import BUCKETS_S
from oleanderweir.event_log.event_counters import EventCounters
from oleanderweir.event_log.flow_story import StoryLine
from oleanderweir.event_log.flow_story import tell_flow_story
from oleanderweir.event_log.json_line_formatter import JsonLineFormatter
from oleanderweir.event_log.line_writer import LineWriter


__all__ = [
    "BUCKETS_S",
    "MAX_LINES_PER_CODE",
    "CodeLimit",
    "EventCounters",
    "JsonLineFormatter",
    "LineWriter",
    "StoryLine",
    "configure_event_log",
    "tell_flow_story",
]
