"""How often one message came lately."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RepeatKey:
    """What makes two log records the same message."""

    logger_name: str
    level: int
    code: str
    template: str


@attrs.define(kw_only=True)
class RepeatWindow:
    """
    Messages of one key since ``started_at``, which is in the filter's time.

    ``last_message`` is the latest one that was suppressed.
    """

    started_at: float
    passed: int = 0
    suppressed: int = 0
    last_message: str = ""
