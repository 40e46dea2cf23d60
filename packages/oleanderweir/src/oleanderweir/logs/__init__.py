"""Logging as JSON lines, with repeated messages suppressed."""

from __future__ import annotations

from oleanderweir.logs.configure_logging import configure_logging
from oleanderweir.logs.repeat_filter import RepeatFilter
from oleanderweir.logs.repeat_window import RepeatKey
from oleanderweir.logs.repeat_window import RepeatWindow


__all__ = ["RepeatFilter", "RepeatKey", "RepeatWindow", "configure_logging"]
