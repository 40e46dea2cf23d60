"""How much a process logs."""

from __future__ import annotations

from enum import Enum


class LogLevel(Enum):
    """The least severe level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
