"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Stable exit codes for scripts; ``docs/OPERATORS.md`` explains each."""

    OK = 0
    FAILED = 1
    INVALID_SETTINGS = 2
    ADDRESS_IN_USE = 3
    TICKET_REFUSED = 4
    NO_ANSWER = 5
    NOT_READY = 6
    SHUTDOWN_CUT = 7
