"""Log level of a process."""

from __future__ import annotations

from enum import Enum


class LogLevel(Enum):
    """The minimum level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
