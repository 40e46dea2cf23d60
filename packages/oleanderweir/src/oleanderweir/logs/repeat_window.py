"""Number of repetitions of one message within a window of time."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RepeatKey:
    """Identifies log records that repeat the same message."""

    logger_name: str
    level: int
    code: str
    template: str


@attrs.define(kw_only=True)
class RepeatWindow:
    """
    Counts the messages of one key since ``started_at``, by the clock of the filter.

    ``last_message`` is the latest suppressed message.
    """

    started_at: float
    passed: int = 0
    suppressed: int = 0
    last_message: str = ""
